"""Amounts of processor, memory and accelerators as tuples."""

import math

NOTHING = (0, 0, 0)


def plus(first, second):
    """Returns the sum of two amounts."""
    return tuple(a + b for a, b in zip(first, second, strict=True))


def less(first, second):
    """Returns the difference of two amounts."""
    return tuple(a - b for a, b in zip(first, second, strict=True))


def smallest(first, second):
    """Returns the smaller of each resource."""
    return tuple(min(a, b) for a, b in zip(first, second, strict=True))


def fits(amount, room):
    """Returns whether an amount is at most `room` in each resource."""
    return all(a <= b for a, b in zip(amount, room, strict=True))


def scaled(amount, factor):
    """Returns processor and memory times `factor`, rounded up."""
    cpu, memory, accelerators = amount
    return (math.ceil(cpu * factor), math.ceil(memory * factor), accelerators)
