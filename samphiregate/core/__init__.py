"""Deciding code: plain state machines without I/O, clocks or sockets.

Every machine takes a typed event and the time, and returns typed actions.
"""
