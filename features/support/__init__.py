"""Helpers of the behaviour tests."""
