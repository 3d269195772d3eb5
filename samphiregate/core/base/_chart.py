"""State charts that stand in YAML files and that the code interprets."""

import pathlib

from ruamel import yaml


class Chart:
    """A flat state chart, read once into a table of transitions.

    Parameters
    ----------
    name : str
        Name of the chart.
    initial : str
        State in which it starts.
    target_by_step : dict
        Target state, keyed by state and event.

    Notes
    -----
    The files are in the format of the sismic library, so that its tools
    can draw and check them; a table answers faster than its interpreter.
    """

    def __init__(self, *, name, initial, transition_table):
        self.name = name
        self.initial = initial
        self.transition_table = transition_table

    @classmethod
    def load(cls, path):
        """Reads a chart from a YAML file.

        Parameters
        ----------
        path : str or pathlib.Path
            The file.

        Returns
        -------
        Chart
        """
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = yaml.YAML(typ="safe").load(text)["statechart"]
        root = document["root state"]
        transition_table = {
            (state["name"], transition["event"]): transition["target"]
            for state in root["states"]
            for transition in state.get("transitions", ())
        }
        return cls(
            name=document["name"],
            initial=root["initial"],
            transition_table=transition_table,
        )

    def next_state(self, state, event):
        """Returns the state after `event`; `state` if nothing is said."""
        return self.transition_table.get((state, event), state)
