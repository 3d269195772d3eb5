"""What a trace is made of, and what playing it gives."""

import attrs

from samphiregate.core import model


@attrs.define(eq=False)
class Work:
    """One job of a trace, and how far it has come.

    Parameters
    ----------
    declared, used : model.Resources
        What its submitter said, and what each of its tasks really uses.
    run_ms : int
        Real run time of each task.
    declared_run_ms : int
        What its submitter said; 0 for nothing.
    units : int
        Tasks that start together.
    cancel_ms : int or None
        When its submitter cancels it.
    fails : bool
        Whether it fails on every worker.
    left_ms : int
        Run time that is left after its last checkpoint.
    """

    work_id: str
    team: str
    work_class: model.WorkClass
    declared: model.Resources
    run_ms: int
    arrival_ms: int
    used: model.Resources = None
    declared_run_ms: int = 0
    units: int = 1
    urgent: bool = False
    checkpointable: bool = False
    cancel_ms: int | None = None
    fails: bool = False
    left_ms: int = 0
    queued_ms: int = 0
    attempts: int = 0
    failed_ms: int = 0
    first_start_ms: int | None = None
    done_ms: int | None = None
    is_over: bool = False
    runs: list = attrs.field(factory=list)
    failed_on: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.left_ms = self.run_ms
        if self.used is None:
            self.used = self.declared


@attrs.define(eq=False)
class Run:
    """One task of a work on a worker."""

    work: Work
    task_id: model.TaskId
    worker_id: str
    booked: model.Resources
    used: model.Resources
    started_ms: int = 0
    end_ms: int = 0
    is_over: bool = False
    is_stopping: bool = False
    is_throttled: bool = False


@attrs.frozen
class ForeignChange:
    """The older scheduler wants to start, or ends, a task on a worker."""

    at_ms: int
    worker_id: str
    amount: model.Resources
    run_ms: int


@attrs.frozen
class Trace:
    """A site, its load and what goes wrong on it.

    Parameters
    ----------
    works : callable
        Returns fresh `Work` records in order of arrival.
    limit_by_team : dict of str to int
        Upper limits; a team that is absent has none.
    bad_workers : frozenset of str
        Workers that fail everything.
    report_ms, report_lag_ms : int
        Interval of the usage reports, and how late each one arrives.
    """

    name: str
    workers: tuple
    works: object
    end_ms: int
    weight_by_team: dict = attrs.field(factory=dict)
    limit_by_team: dict = attrs.field(factory=dict)
    bad_workers: frozenset = frozenset()
    foreign: tuple = ()
    report_ms: int = 5_000
    report_lag_ms: int = 0


@attrs.define
class Window:
    """Use by each team over one stretch of time.

    Parameters
    ----------
    part_by_team : dict of str to float
        Mean dominant share of each team.
    backlogged : frozenset of str
        Teams with work waiting at every instant.
    """

    start_ms: int
    part_by_team: dict
    backlogged: frozenset


@attrs.define
class Outcome:
    """What playing a trace under one set of policies gave."""

    works: list
    windows: list = attrs.field(factory=list)
    violations: dict = attrs.field(factory=dict)
    starts: int = 0
    refused: int = 0
    preempted: int = 0
    cut_back: dict = attrs.field(factory=dict)
    failed_attempts: int = 0
    failed_works: list = attrs.field(factory=list)
    over_used_ms: int = 0
    own_core_ms: int = 0
    lost_ms: int = 0
    foreign_refused: int = 0
