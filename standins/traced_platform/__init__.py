"""Runs the adapter to the users' platform, and notes what it has read."""

READ = "READ "  # before the number of a request
