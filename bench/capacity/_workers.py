"""Workers in virtual time that accept everything."""

import attrs

from samphiregate.core import model
from samphiregate.core import workers


class FakeWorker:
    """Runs every task that it is told to start, for its declared time.

    Parameters
    ----------
    worker_id : str
        Its id.
    """

    def __init__(self, worker_id):
        self.worker_id = worker_id
        self._epoch = 0
        self._reports_by_id = {}
        self._end_ms_by_id = {}

    def exchange(self, action, now_ms):
        """Carries out an exchange; returns the `WorkerAnswered`."""
        self._epoch = max(self._epoch, action.epoch)
        named = {}
        for command in action.commands:
            report = self._carry_out(command, now_ms)
            if report is not None:
                named[report.task_id] = report
        named.update(self._end_due(now_ms))
        if action.full:
            named = dict(self._reports_by_id)
        report = workers.WorkerReport(
            incarnation=f"{self.worker_id}-1",
            accepted=True,
            epoch=self._epoch,
            clock_ms=now_ms,
            tasks=tuple(named.values()),
            full=action.full,
            used_total=model.Resources(),
        )
        return workers.WorkerAnswered(
            self.worker_id, action.epoch, action.sequence, report
        )

    def _carry_out(self, command, now_ms):
        if isinstance(command, workers.ForgetTask):
            self._reports_by_id.pop(command.task_id, None)
            self._end_ms_by_id.pop(command.task_id, None)
            return None
        if isinstance(command, workers.StartTask):
            if command.run_time_ms:
                end_ms = now_ms + command.run_time_ms
                self._end_ms_by_id[command.task_id] = end_ms
            report = workers.TaskReport(
                command.task_id,
                command.attempt,
                workers.WorkerTaskState.RUNNING,
                team=command.team,
                work_class=command.work_class,
                reserved=command.resources,
                used=command.resources,
                remaining_ms=command.run_time_ms,
            )
        else:
            report = workers.TaskReport(
                command.task_id,
                command.attempt,
                workers.WorkerTaskState.STOPPED,
            )
        self._reports_by_id[command.task_id] = report
        return report

    def _end_due(self, now_ms):
        ended = {}
        for task_id, end_ms in tuple(self._end_ms_by_id.items()):
            if end_ms > now_ms:
                continue
            del self._end_ms_by_id[task_id]
            report = attrs.evolve(
                self._reports_by_id[task_id],
                state=workers.WorkerTaskState.SUCCEEDED,
            )
            self._reports_by_id[task_id] = report
            ended[task_id] = report
        return ended
