"""State charts that are loaded from YAML files."""

import pathlib

from ruamel import yaml


class Chart:
    """A flat state chart, compiled to a table of transitions.

    Parameters
    ----------
    name : str
        Name of the chart.
    initial : str
        Initial state.
    transition_table : dict
        Target state, keyed by state and event.

    Notes
    -----
    The files have the format of the sismic library, so that its tools can
    draw and check them. A table lookup is faster than its interpreter.
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
            Path of the file.

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
        """Returns the state after `event`.

        This is `state` itself if the chart has no transition for the two.
        """
        return self.transition_table.get((state, event), state)
