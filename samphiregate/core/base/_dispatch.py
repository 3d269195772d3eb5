"""Dispatch on the class of a message without a cost for each access."""

import functools


def bind_dispatchers(instance):
    """Keeps each `singledispatchmethod` of an object bound to it.

    The library builds a new wrapper whenever such a method is accessed,
    which costs more than the dispatch itself. Binding once leaves only the
    dispatch.
    """
    for cls in reversed(type(instance).__mro__):
        for name, value in vars(cls).items():
            if isinstance(value, functools.singledispatchmethod):
                setattr(instance, name, getattr(instance, name))
