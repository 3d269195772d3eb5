"""Thin parts that carry the core's actions to the outside and back."""
