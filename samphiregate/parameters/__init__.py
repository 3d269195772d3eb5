"""Declared, checked parameters shared by every policy and state machine."""

from samphiregate.parameters._parameters import Choice
from samphiregate.parameters._parameters import Interval
from samphiregate.parameters._parameters import make_named
from samphiregate.parameters._parameters import Parameterised

__all__ = ["Choice", "Interval", "Parameterised", "make_named"]
