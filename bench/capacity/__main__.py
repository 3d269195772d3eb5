"""Puts the newest slopes into ``docs/CAPACITY.md`` and draws them."""

import pathlib

from bench.capacity import _plots
from bench.capacity import _sizes
from bench.capacity import _slopes
from bench.capacity import _workings

PAGE = pathlib.Path("docs/CAPACITY.md")
BEGIN = "<!-- begin {} -->\n"
END = "<!-- end {} -->\n"


def main():
    """Rewrites the page's tables and the plots."""
    slopes = _slopes.read()
    by_name = {slope.name: slope for slope in slopes}
    rows = _workings.Workings(by_name, _sizes.Size()).rows()
    text = PAGE.read_text()
    text = _replaced(text, "table", _workings.markdown(rows, by_name))
    text = _replaced(text, "slopes", _workings.markdown_of_slopes(slopes))
    PAGE.write_text(text)
    _plots.draw(slopes)


def _replaced(text, mark, content):
    head, _begin, rest = text.partition(BEGIN.format(mark))
    _old, _end, tail = rest.partition(END.format(mark))
    return "".join((head, BEGIN.format(mark), content, END.format(mark), tail))


if __name__ == "__main__":
    main()
