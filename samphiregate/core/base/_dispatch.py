"""Dispatch of methods on the class of their first argument."""

import functools


class singledispatchmethod(functools.singledispatchmethod):
    """The standard library's, with a cheaper call through an instance.

    Notes
    -----
    The standard one copies the name and documentation of the method into a
    new function on each access, which takes longer than the dispatch.
    """

    def __get__(self, instance, owner=None):
        """Returns what dispatches and calls on `instance`."""
        if instance is None:
            return super().__get__(instance, owner)
        dispatch = self.dispatcher.dispatch

        def call(argument, *args, **kwargs):
            method = dispatch(type(argument))
            return method(instance, argument, *args, **kwargs)

        return call


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
