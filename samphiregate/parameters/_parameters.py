"""Parameter tables and the one place that checks against them."""

import attrs

from samphiregate import errors


@attrs.frozen
class Interval:
    """A numeric parameter between two inclusive bounds.

    Parameters
    ----------
    kind : type
        ``int`` or ``float``; a float parameter also takes an int.
    low, high : float
        Inclusive bounds, in the unit that the parameter's name states.
    """

    kind: type
    low: float
    high: float

    def check(self, name, value):
        """Raises `SettingError` unless `value` lies within the bounds."""
        kinds = (int,) if self.kind is int else (int, float)
        if isinstance(value, bool) or not isinstance(value, kinds):
            raise errors.SettingError(name, f"expected {self.kind.__name__}")
        if not self.low <= value <= self.high:
            raise errors.SettingError(
                name, f"{value} is outside {self.low} to {self.high}"
            )


@attrs.frozen
class Choice:
    """A parameter that takes one of a few values."""

    options: tuple

    def check(self, name, value):
        """Raises `SettingError` unless `value` is one of the options."""
        if value not in self.options:
            raise errors.SettingError(name, f"expected one of {self.options}")


class Parameterised:
    """Base of parts whose keyword-only parameters stand in a table.

    Subclasses list each parameter in `parameter_table` with its check, and
    store each under its own name. What is learnt or derived is kept in
    attributes whose names end in an underscore.
    """

    parameter_table = {}

    def check_parameters(self):
        """Checks every declared parameter.

        Raises
        ------
        SettingError
            For the first parameter whose value is not allowed.
        """
        for name, rule in self.parameter_table.items():
            rule.check(name, getattr(self, name))

    def get_params(self):
        """Returns the declared parameters, keyed by name."""
        return {name: getattr(self, name) for name in self.parameter_table}


def make_named(setting, classes_by_name, name, params):
    """Returns an instance of one of several classes that can be swapped.

    Parameters
    ----------
    setting : str
        What is chosen, for the error.
    classes_by_name : dict
        The classes.
    name : str
        Name of the chosen one.
    params : dict
        Keyword parameters of its class.

    Raises
    ------
    SettingError
        If the name or a parameter is not allowed.
    """
    Choice(tuple(classes_by_name)).check(setting, name)
    return classes_by_name[name](**params)
