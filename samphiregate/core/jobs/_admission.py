"""Admission control: refuses jobs at once, with a typed error."""

import attrs

from samphiregate.core import model
from samphiregate import errors

MAX_TASKS = 10_000
ADMITTED_CLASSES = frozenset(
    {model.WorkClass.SERVICE, model.WorkClass.BATCH, model.WorkClass.GANG}
)


@attrs.frozen
class Refusal:
    """Why a job is not accepted."""

    error: errors.ErrorCode
    detail: str


class Admission:
    """Checks jobs against the operators' lists and the workers.

    Parameters
    ----------
    data_centre : str
        Data centre whose workers are considered.

    Notes
    -----
    Until a list of workers has been read, no job is refused as too large.
    """

    def __init__(self, *, data_centre):
        self._data_centre = data_centre
        self._configuration = model.Configuration()
        self._capacities = ()

    def apply_configuration(self, configuration):
        """Applies a new configuration."""
        self._configuration = configuration

    def apply_workers(self, workers_by_id):
        """Applies the list of workers; keeps a count by capacity."""
        counts = {}
        for info in workers_by_id.values():
            if info.data_centre == self._data_centre:
                counts[info.capacity] = counts.get(info.capacity, 0) + 1
        self._capacities = tuple(counts.items())

    def find_refusal(self, spec):
        """Returns why a job is refused, or None if it is accepted."""
        return (
            self._check_input(spec)
            or self._check_plan(spec)
            or self._check_fit(spec)
        )

    def plan_of(self, team_name):
        """Returns the plan of a team, or None."""
        team = self._configuration.teams_by_name.get(team_name)
        if team is None:
            return None
        return self._configuration.plans_by_name.get(team.plan)

    def _check_input(self, spec):
        amounts = attrs.astuple(spec.resources)
        if spec.work_class not in ADMITTED_CLASSES:
            detail = "the class of a job must be service, batch or gang"
        elif not 1 <= spec.task_count <= MAX_TASKS:
            detail = f"the number of tasks must be from 1 to {MAX_TASKS}"
        elif min(amounts) < 0 or not any(amounts):
            detail = (
                "no resource of a task may be negative, and at least one "
                "must be above zero"
            )
        elif spec.run_time_ms < 0 or spec.max_attempts < 1:
            detail = (
                "the run time must not be negative, and the maximum number "
                "of attempts must be at least 1"
            )
        else:
            return None
        return Refusal(errors.ErrorCode.BAD_INPUT, detail)

    def _check_plan(self, spec):
        plan = self.plan_of(spec.team)
        if plan is None:
            detail = "the team has no plan; ask the operators for one"
        elif spec.work_class.value not in plan.work_classes:
            detail = (
                f"the team's plan does not allow {spec.work_class.value} work"
            )
        elif spec.urgent and not plan.urgent:
            detail = "the team's plan does not allow urgent work"
        else:
            return None
        return Refusal(errors.ErrorCode.NOT_ALLOWED, detail)

    def _check_fit(self, spec):
        is_gang = spec.work_class is model.WorkClass.GANG
        plan = self.plan_of(spec.team)
        if plan.max_running < (spec.task_count if is_gang else 1):
            detail = (
                "the job needs to run more tasks at once than the team's "
                "plan allows"
            )
            return Refusal(errors.ErrorCode.NEVER_FITS, detail)
        if not self._capacities:
            return None
        fitting_count = self._fitting_task_count(spec.resources)
        if not fitting_count:
            detail = "no worker of the data centre is large enough for a task"
            return Refusal(errors.ErrorCode.NEVER_FITS, detail)
        if is_gang and fitting_count < spec.task_count:
            detail = (
                "all tasks of a gang run at once, but the workers of the "
                f"data centre have room for {fitting_count} of this size"
            )
            return Refusal(errors.ErrorCode.NEVER_FITS, detail)
        return None

    def _fitting_task_count(self, resources):
        return sum(
            count * _tasks_per_worker(resources, capacity)
            for capacity, count in self._capacities
        )


def _tasks_per_worker(resources, capacity):
    pairs = zip(attrs.astuple(resources), attrs.astuple(capacity), strict=True)
    return min(available // needed for needed, available in pairs if needed)
