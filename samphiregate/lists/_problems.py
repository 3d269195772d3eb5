"""What can be wrong with the operators' files."""

import attrs

from samphiregate import errors


@attrs.frozen
class Problem:
    """One thing wrong in a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line, counted from 1; 0 if the problem has none.
    path : str
        Dotted path of the entry.
    detail : str
        What is wrong.
    hint : str
        What to do about it.
    """

    file: str
    line: int
    path: str
    detail: str
    hint: str = ""

    def __str__(self):
        place = f"{self.file}:{self.line}" if self.line else self.file
        where = f"{place}: {self.path}" if self.path else place
        hint = f" ({self.hint})" if self.hint else ""
        return f"{where}: {self.detail}{hint}"


class InvalidListsError(errors.BadInputError):
    """Files with at least one problem; nothing of them was applied.

    Parameters
    ----------
    problems : tuple of Problem
        Every problem found.
    """

    def __init__(self, problems):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = tuple(problems)
