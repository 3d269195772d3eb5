"""The two lists, read from their files and checked whole."""

import pathlib

import attrs

from samphiregate.core import model
from samphiregate.lists import _fields
from samphiregate.lists import _problems
from samphiregate.lists import _source

TEAMS_FILE = "teams.toml"
PLANS_FILE = "plans.toml"


@attrs.frozen
class Lists:
    """What both files say.

    Parameters
    ----------
    teams_by_name : dict
        `Team` records of the list of teams.
    plans_by_name, queues_by_name : dict
        `Plan` and `Queue` records of the list of plans.
    revision : int or None
        Revision that the files were written against, if they tell.
    """

    teams_by_name: dict[str, model.Team]
    plans_by_name: dict[str, model.Plan]
    queues_by_name: dict[str, model.Queue]
    revision: int | None = None


def read_lists(directory):
    """Reads and checks both files of a directory.

    Parameters
    ----------
    directory : str or pathlib.Path
        Holds `TEAMS_FILE` and `PLANS_FILE`.

    Returns
    -------
    Lists

    Raises
    ------
    InvalidListsError
        With every problem of both files.
    """
    directory = pathlib.Path(directory)
    return check_lists(
        _source.read_source(directory / TEAMS_FILE),
        _source.read_source(directory / PLANS_FILE),
    )


def parse_lists(teams_text, plans_text):
    """Checks the texts of both files; see `read_lists`."""
    return check_lists(
        _source.parse_source(TEAMS_FILE, teams_text),
        _source.parse_source(PLANS_FILE, plans_text),
    )


def check_lists(teams_source, plans_source):
    """Checks two files that were read; see `read_lists`."""
    unread = teams_source.problems + plans_source.problems
    if unread:
        raise _problems.InvalidListsError(unread)
    checker = _Checker(teams_source, plans_source)
    lists = checker.check()
    if checker.problems:
        raise _problems.InvalidListsError(sorted(checker.problems, key=_place))
    return lists


class _Checker:
    """Collects the problems of two files while it reads them."""

    def __init__(self, teams_source, plans_source):
        self.problems = []
        self._teams_source = teams_source
        self._plans_source = plans_source

    def check(self):
        self._check_tables(self._teams_source, ("teams",))
        self._check_tables(self._plans_source, ("plans", "queues"))
        teams = self._entries(self._teams_source, "teams", _fields.TEAM_FIELDS)
        plans = self._entries(self._plans_source, "plans", _fields.PLAN_FIELDS)
        queues = self._entries(
            self._plans_source, "queues", _fields.QUEUE_FIELDS
        )
        self._check_plans_of_teams(teams, plans)
        self._check_queues_of_plans(plans, queues)
        revision = self._revision()
        if self.problems:
            return None
        return Lists(
            teams_by_name=_make(teams, _make_team),
            plans_by_name=_make(plans, _make_plan),
            queues_by_name=_make(queues, _make_queue),
            revision=revision,
        )

    def _check_tables(self, source, names):
        known = (*names, "revision")
        for name, value in source.document.items():
            if name not in known:
                self._add(
                    source,
                    (name,),
                    "is not known here",
                    _fields.closest(name, known),
                )
            elif name != "revision" and not isinstance(value, dict):
                self._add(
                    source, (name,), "is not a table", f"write [{name}.NAME]"
                )

    def _entries(self, source, table, fields):
        entries = source.document.get(table, {})
        if not isinstance(entries, dict):
            return {}
        return {
            name: self._entry(source, (table, name), entry, fields)
            for name, entry in entries.items()
        }

    def _entry(self, source, path, entry, fields):
        if not _fields.is_name(path[-1]):
            self._add(source, path, "is no name", _fields.NAME_RULE)
        if not isinstance(entry, dict):
            header = ".".join(path)
            self._add(source, path, "is not a table", f"write [{header}]")
            return {}
        misspelt = set()
        for name in entry.keys() - fields.keys():
            misspelt |= _fields.matches(name, fields.keys() - entry.keys())
            hint = _fields.closest(name, fields)
            self._add(source, (*path, name), "is not known here", hint)
        return {
            name: self._value(source, (*path, name), entry, field)
            for name, field in fields.items()
            if name not in misspelt
        }

    def _value(self, source, path, entry, field):
        name = path[-1]
        if name not in entry:
            if field.default is _fields.NO_VALUE:
                self._add(source, path, "is missing", field.hint)
            return field.default
        wrong = field.check(entry[name])
        if wrong:
            self._add(source, path, wrong, field.hint)
            return _fields.NO_VALUE
        return entry[name]

    def _check_plans_of_teams(self, teams, plans):
        for name, team in teams.items():
            plan = team.get("plan", _fields.NO_VALUE)
            if plan is not _fields.NO_VALUE and plan not in plans:
                self._add(
                    self._teams_source,
                    ("teams", name, "plan"),
                    f"there is no plan {plan}",
                    _fields.closest(plan, plans),
                )

    def _check_queues_of_plans(self, plans, queues):
        for name, plan in plans.items():
            listed = plan.get("queues", _fields.NO_VALUE)
            for queue in () if listed is _fields.NO_VALUE else listed:
                if queue not in queues:
                    self._add(
                        self._plans_source,
                        ("plans", name, "queues"),
                        f"there is no queue {queue}",
                        _fields.closest(queue, queues),
                    )

    def _revision(self):
        found = set()
        for source in (self._teams_source, self._plans_source):
            revision = source.document.get("revision")
            if revision is None:
                continue
            if isinstance(revision, bool) or not isinstance(revision, int):
                self._add(
                    source,
                    ("revision",),
                    "is not a whole number",
                    "leave it as lists get wrote it",
                )
                continue
            found.add(revision)
        if len(found) > 1:
            self._add(
                self._plans_source,
                ("revision",),
                "differs from that of the list of teams",
                "get both files anew, or take the line out of both",
            )
        return min(found, default=None)

    def _add(self, source, path, detail, hint=""):
        self.problems.append(source.problem(path, detail, hint))


def _place(problem):
    return problem.file, problem.line, problem.path


def _make(entries_by_name, make):
    return {name: make(name, entry) for name, entry in entries_by_name.items()}


def _make_team(name, entry):
    return model.Team(name, entry["plan"])


def _make_plan(name, entry):
    return model.Plan(
        name=name,
        share=float(entry["share"]),
        max_running=entry["max_running"],
        queues=tuple(entry["queues"]),
        work_classes=tuple(entry["classes"]),
        urgent=entry["urgent"],
    )


def _make_queue(name, entry):
    return model.Queue(name, entry["service"], entry["open_to_all"])
