"""Decision logic: state machines without I/O, clocks or sockets.

Each machine handles a typed event at a given time and returns typed actions.
"""
