"""Output as tables for people or as JSON for machines."""

import io
import sys

import attrs
import orjson
from rich import console as rich_console
from rich import table as rich_table

from samphiregate.cli import _options

TABLE_WIDTH = 1_000


def show(document, output_format, columns=None):
    """Prints a document.

    Parameters
    ----------
    document : dict or list of dict
        Rows, or one record.
    output_format : str
        Value of `OutputFormat`.
    columns : tuple of str, optional
        Columns of the table; by default those of the first row.
    """
    if _options.OutputFormat(output_format) is _options.OutputFormat.JSON:
        print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
        return
    if isinstance(document, dict):
        rows = [
            {"name": name, "value": value} for name, value in document.items()
        ]
    else:
        rows = document
    if rows:
        print(_table_text(rows, columns or tuple(rows[0])))


def show_error(error, output_format):
    """Prints an error to the standard error stream."""
    if output_format == _options.OutputFormat.JSON.value:
        document = {
            "code": error.code.value,
            "detail": error.detail,
            "ran": error.ran.value,
            "retry_after_ms": error.retry_after_ms,
        }
        problems = getattr(error, "problems", ())
        if problems:
            document["problems"] = [attrs.asdict(item) for item in problems]
        text = orjson.dumps(document).decode()
    else:
        text = f"samphiregate: {error.detail}"
    print(text, file=sys.stderr)


def remark(text):
    """Prints a sentence for a person, apart from the output itself."""
    print(text, file=sys.stderr)


def rows_of(document):
    """Returns the rows of a document that wraps one list, or itself."""
    if isinstance(document, dict):
        lists = [value for value in document.values() if _is_rows(value)]
        if len(lists) == 1:
            return lists[0]
    return document


def _is_rows(value):
    return isinstance(value, list) and all(
        isinstance(row, dict) for row in value
    )


def _table_text(rows, columns):
    table = rich_table.Table(box=None, pad_edge=False, padding=(0, 2, 0, 0))
    for column in columns:
        table.add_column(column.upper().replace("_", " "), no_wrap=True)
    for row in rows:
        table.add_row(*(_cell(row.get(column)) for column in columns))
    target = io.StringIO()
    console = rich_console.Console(
        file=target, width=TABLE_WIDTH, markup=False, highlight=False
    )
    console.print(table)
    lines = target.getvalue().splitlines()
    return "\n".join(line.rstrip() for line in lines)


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, (dict, list)):
        return orjson.dumps(value).decode()
    return str(value)
