"""Dispatch on the class of a method's first argument, at low cost."""

import functools


class dispatchmethod(functools.singledispatchmethod):
    """`functools.singledispatchmethod` without a new wrapper a call.

    Notes
    -----
    The library copies the name and documentation of the method onto a new
    function each time that the method is looked up, which takes longer than
    the dispatch itself. Arguments are positional here.
    """

    def __get__(self, obj, cls=None):
        """Returns the method, bound to `obj`."""
        dispatch = self.dispatcher.dispatch

        def method(argument, *others):
            implementation = dispatch(argument.__class__)
            return implementation(obj, argument, *others)

        return method
