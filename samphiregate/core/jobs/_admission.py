"""Says at once, with a typed reason, which jobs are not accepted."""

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
    """Checks jobs against the operators' lists and the site's workers.

    Parameters
    ----------
    data_centre : str
        Data centre whose workers count.

    Notes
    -----
    As long as no list of workers was read, no job counts as too large.
    """

    def __init__(self, *, data_centre):
        self._data_centre = data_centre
        self._configuration = model.Configuration()
        self._capacities = ()

    def apply_configuration(self, configuration):
        """Takes in the configuration in force."""
        self._configuration = configuration

    def apply_workers(self, workers_by_id):
        """Takes in the list of workers, as sizes and their counts."""
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
            detail = "the class of a job is service, batch or gang"
        elif not 1 <= spec.task_count <= MAX_TASKS:
            detail = f"a job has 1 to {MAX_TASKS} tasks"
        elif min(amounts) < 0 or not any(amounts):
            detail = "a task needs resources above zero"
        elif spec.run_time_ms < 0 or spec.max_attempts < 1:
            detail = "run time and attempts cannot be negative"
        else:
            return None
        return Refusal(errors.ErrorCode.BAD_INPUT, detail)

    def _check_plan(self, spec):
        plan = self.plan_of(spec.team)
        if plan is None:
            detail = "the team has no plan"
        elif spec.work_class.value not in plan.work_classes:
            detail = f"the plan has no {spec.work_class.value} work"
        elif spec.urgent and not plan.urgent:
            detail = "the plan has no urgent work"
        else:
            return None
        return Refusal(errors.ErrorCode.NOT_ALLOWED, detail)

    def _check_fit(self, spec):
        is_gang = spec.work_class is model.WorkClass.GANG
        plan = self.plan_of(spec.team)
        if plan.max_running < (spec.task_count if is_gang else 1):
            detail = "the team's upper limit is below the tasks at once"
            return Refusal(errors.ErrorCode.NEVER_FITS, detail)
        if not self._capacities:
            return None
        fitting_count = self._fitting_task_count(spec.resources)
        if not fitting_count:
            detail = "no worker is large enough for one task"
            return Refusal(errors.ErrorCode.NEVER_FITS, detail)
        if is_gang and fitting_count < spec.task_count:
            detail = f"only {fitting_count} tasks of this size fit at once"
            return Refusal(errors.ErrorCode.NEVER_FITS, detail)
        return None

    def _fitting_task_count(self, resources):
        return sum(
            count * _fitting_units(resources, capacity)
            for capacity, count in self._capacities
        )


def _fitting_units(resources, capacity):
    pairs = zip(attrs.astuple(resources), attrs.astuple(capacity), strict=True)
    return min(size // part for part, size in pairs if part)
