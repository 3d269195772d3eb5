"""Behaviour tests; `features.run` runs them all."""
