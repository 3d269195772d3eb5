"""Checks invariants of a simulated cell, as its endpoints see them.

No task runs in two places or again after it was done, no start exceeds an
endpoint's capacity, no step starts before the steps that it comes after, and
no end is discarded before it is stored.
"""

from samphiregate.core import cells
from samphiregate.core.cells import _compact_records
from samphiregate.core.cells import _number_ranges


class Invariants:
    """The invariants of a cell, and where they were violated.

    Parameters
    ----------
    simulation : CellSimulation

    Attributes
    ----------
    violations : list of str
    """

    def __init__(self, simulation):
        self.violations = []
        self._simulation = simulation

    def check_start(self, endpoint, action):
        """Checks the invariants of a start that was just recorded."""
        simulation = self._simulation
        task_id = action.task_id
        for other in simulation.endpoint_by_id.values():
            for run in other.run_by_key.values():
                same = (run.task_id, run.run) == (task_id, action.run)
                if run.step.speculative:
                    continue
                if run.task_id == task_id and not (same and other is endpoint):
                    self.add_violation(f"{task_id} runs twice")
        if any(
            task_id in other.done_tasks
            for other in simulation.endpoint_by_id.values()
        ):
            self.add_violation(f"{task_id} starts after it was done")
        if endpoint.is_over_capacity(simulation.now_ms):
            self.add_violation(f"{endpoint.endpoint_id} is over its capacity")
        if not simulation.owner_up:
            return
        entry = simulation.cell.cell_state.entry_by_id.get(task_id.job_id)
        if entry is None:
            return
        for number in simulation.step_of(task_id).after:
            if not entry.stages_by_key[task_id.occurrence, number].is_done:
                self.add_violation(f"{task_id} started before step {number}")

    def check_discarded_ends(self, endpoint, stored_upto):
        """Checks that only ends that are stored are discarded."""
        for row in endpoint.ended:
            if row.number > stored_upto or (
                row.reason is not cells.EndReason.DONE
            ):
                continue
            job_id = row.task_id.job_id
            data = self._simulation.stored_by_id.get(job_id)
            if not data or not _is_recorded(
                _compact_records.expand(
                    cells.decode(data, cells.JobRecord),
                    self._simulation.stored_job(job_id),
                ),
                row,
            ):
                self.add_violation(
                    f"the end of {row.task_id} was discarded before it was "
                    "stored"
                )

    def add_violation(self, text):
        """Records that an invariant is violated now."""
        self.violations.append(f"{self._simulation.now_ms} ms: {text}")


def _is_recorded(record, row):
    if record.state.is_final:
        return True
    ended = _number_ranges.NumberRanges(record.ended_occurrences)
    if row.task_id.occurrence in ended:
        return True
    for stage in record.stages:
        same = (stage.occurrence, stage.step) == (
            row.task_id.occurrence,
            row.task_id.step,
        )
        if same and (stage.all_done or row.task_id.index in stage.done):
            return True
    return False
