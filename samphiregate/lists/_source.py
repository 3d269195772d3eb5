"""One file of a list: its text, what it says, and where it says it."""

import os
import re
import tomllib

import attrs

from samphiregate.lists import _problems

_HEADER = re.compile(r"^\s*\[+([^\]]+)\]")
_ASSIGNMENT = re.compile(r"""^\s*((?:[\w.\- ]|"[^"]*"|'[^']*')+?)\s*=""")
_LINE_IN_MESSAGE = re.compile(r"\(at line (\d+), column \d+\)")
MAX_FILE_BYTES = 4_000_000


@attrs.frozen
class Source:
    """A file that was read.

    Parameters
    ----------
    name : str
        Name shown in problems.
    text : str
        The whole text.
    document : dict
        The decoded TOML; empty if it could not be decoded.
    problems : tuple of Problem
        What kept it from being decoded.
    """

    name: str
    text: str
    document: dict
    problems: tuple[_problems.Problem, ...] = ()

    def problem(self, path, detail, hint=""):
        """Returns a `Problem` at an entry.

        Parameters
        ----------
        path : tuple of str
            Names that lead to the entry.
        """
        return _problems.Problem(
            file=self.name,
            line=line_of(self.text, path),
            path=".".join(path),
            detail=detail,
            hint=hint,
        )


def read_source(path):
    """Reads a file; what is wrong with it is among its problems."""
    try:
        content = path.read_bytes()
    except OSError as error:
        return _unread(path, f"can't be read: {error.strerror}")
    if len(content) > MAX_FILE_BYTES:
        return _unread(path, f"is over {MAX_FILE_BYTES} bytes")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError:
        return _unread(path, "is not UTF-8")
    return parse_source(str(path), text)


def parse_source(name, text):
    """Decodes the text of a file."""
    try:
        return Source(name, text, tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        problem = _syntax_problem(name, text, str(error))
        return Source(name, text, {}, (problem,))


def line_of(text, path):
    """Returns the line of an entry, or of the nearest one around it.

    Returns
    -------
    int
        Counted from 1; 0 if nothing on the path stands in the text.
    """
    table = ()
    best_line = best_depth = 0
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        assignment = _ASSIGNMENT.match(line)
        if header:
            here = table = _split(header[1])
        elif assignment:
            here = table + _split(assignment[1])
        else:
            continue
        depth = len(os.path.commonprefix([here, path]))
        if depth in (len(here), len(path)) and depth > best_depth:
            best_line, best_depth = number, depth
    return best_line


def _split(dotted):
    return tuple(part.strip().strip("\"'") for part in dotted.split("."))


def _unread(path, detail):
    problem = _problems.Problem(str(path), 0, "", detail)
    return Source(str(path), "", {}, (problem,))


def _syntax_problem(name, text, message):
    found = _LINE_IN_MESSAGE.search(message)
    line = int(found[1]) if found else len(text.splitlines())
    detail = _LINE_IN_MESSAGE.sub("", message).strip()
    hint = "the file is not valid TOML; texts go in quotes"
    return _problems.Problem(name, line, "", detail, hint)
