"""Finds the decision lines that the sources write, and their fields."""

import ast
import pathlib

import attrs

SOURCES = (
    "platform",
    "samphiregate/adapters/cells",
    "samphiregate/core/cells",
)
WRITERS = frozenset({"write", "log_decision"})


@attrs.frozen
class LogCall:
    """A call that writes a line.

    Parameters
    ----------
    place : str
        File and line.
    events : tuple of str
        Names that the line can have.
    fields : tuple of str
    """

    place: str
    events: tuple
    fields: tuple


def find_calls():
    """Returns the `LogCall` of each line that the sources write."""
    calls = []
    for directory in SOURCES:
        for path in sorted(pathlib.Path(directory).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                call = _read(path, node)
                if call is not None:
                    calls.append(call)
    return calls


def _read(path, node):
    if not isinstance(node, ast.Call) or not node.args:
        return None
    name = getattr(node.func, "attr", "")
    events = _texts(node.args[0])
    if name not in WRITERS or not events:
        return None
    fields = tuple(word.arg for word in node.keywords if word.arg)
    return LogCall(f"{path}:{node.lineno}", events, fields)


def _texts(node):
    """Returns the strings that an expression can be."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return (node.value,)
    if isinstance(node, ast.IfExp):
        return _texts(node.body) + _texts(node.orelse)
    return ()
