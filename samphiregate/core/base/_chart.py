"""State charts kept in YAML files and compiled into tables."""

import importlib.resources

import attrs
from sismic import io as sismic_io
from sismic import model as sismic_model


@attrs.frozen
class Chart:
    """A flat state chart, compiled for one look-up an event.

    Parameters
    ----------
    name : str
        Name of the chart.
    initial : str
        State of a new instance.
    table : dict
        Next state by state and event.
    """

    name: str
    initial: str
    table: dict[tuple[str, str], str] = attrs.field(repr=False)

    def next_state(self, state, event):
        """Returns the state after `event`, or None if it changes nothing."""
        return self.table.get((state, event))


def load_chart(package, file_name):
    """Reads a chart in the YAML format of sismic.

    Parameters
    ----------
    package : str
        Package that holds the file.
    file_name : str
        Its name.

    Returns
    -------
    Chart

    Notes
    -----
    Interpreting a chart event by event is too slow for one task, so the
    transitions are put into a table once. Transitions of a compound state
    hold in each state inside it. Guards and actions are not used.
    """
    text = (
        importlib.resources.files(package)
        .joinpath(file_name)
        .read_text(encoding="utf-8")
    )
    chart = sismic_io.import_from_yaml(text)
    table = {}
    for name in chart.states:
        for event, target in _transitions(chart, name):
            table.setdefault((name, event), target)
    return Chart(chart.name, _initial(chart, chart.root), table)


def _transitions(chart, name):
    for ancestor in [name, *chart.ancestors_for(name)]:
        for transition in chart.transitions_from(ancestor):
            target = transition.target or ancestor
            yield transition.event, _initial(chart, target)


def _initial(chart, name):
    state = chart.state_for(name)
    while isinstance(state, sismic_model.CompoundState):
        state = chart.state_for(state.initial)
    return state.name
