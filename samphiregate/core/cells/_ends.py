"""Applies the ends of runs that endpoints list to tasks and jobs."""

from samphiregate.core.cells import _crash_history
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work


def apply_end(cell_state, endpoint, row, now_ms):
    """Applies the end of a run that an endpoint lists.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    row : EndedRow
    now_ms : int
    """
    booking = endpoint.bookings_by_run.get((row.task_id, row.run))
    if booking is not None:
        cell_state.release(booking)
    entry = cell_state.entry_by_id.get(row.task_id.job_id)
    task = entry.task(row.task_id) if entry else None
    version = 0
    if task is not None:
        _apply_outcome(cell_state, task, endpoint, row, now_ms)
        version = entry.version
    endpoint.handled_upto = row.number
    endpoint.unstored_ends.append((row.number, row.task_id.job_id, version))


def _apply_outcome(cell_state, task, endpoint, row, now_ms):
    entry = task.stage.entry
    if (endpoint.endpoint_id, row.run) in task.ended_runs:
        return
    task.ended_runs.add((endpoint.endpoint_id, row.run))
    task.last_run = max(task.last_run, row.run)
    if row.saved:
        task.saved = row.saved
    if entry.state.is_final or task.is_done:
        return
    if row.reason is _messages.EndReason.DONE:
        _apply_success(cell_state, task, endpoint, row.run, now_ms)
    elif row.reason is _messages.EndReason.FAILED:
        _apply_failure(cell_state, task, endpoint, row.run, now_ms)
    else:
        cell_state.log_decision(
            "run ended",
            entry.job.job_id,
            task=task.task_id.position,
            run=row.run,
            reason=row.reason.value,
            endpoint=endpoint.endpoint_id,
        )
    if not task.is_done and task.stage.step.gang:
        cell_state.stop_gang(task.stage, row.run, now_ms)
    if task.saved and task.stage.step.checkpoints:
        _copy_checkpoint(task)
        cell_state.mark_dirty(entry)
    if task.is_waiting:
        cell_state.mark_startable(task.stage)


def _apply_success(cell_state, task, endpoint, run, now_ms):
    stage = task.stage
    entry = stage.entry
    if stage.step.long_running:
        cell_state.log_decision(
            "long-running task ended",
            entry.job.job_id,
            task=task.task_id.position,
            run=run,
            endpoint=endpoint.endpoint_id,
        )
        return
    # The end of one member of a gang as done stands for all members.
    members = stage.tasks if stage.step.gang else [task]
    for member in members:
        _tasks.mark_done(member)
    if not stage.step.gang:
        for booking in list(task.bookings_by_run.values()):
            cell_state.stop(booking, now_ms)
    cell_state.mark_dirty(entry)
    if not stage.is_done:
        return
    cell_state.startable_stages.pop((entry.job.job_id, stage.key), None)
    if entry.is_done:
        cell_state.finish(entry, _work.JobState.COMPLETED, now_ms)
    else:
        cell_state.open_ready_stages(entry, now_ms, stage.occurrence)


def _apply_failure(cell_state, task, endpoint, run, now_ms):
    stage = task.stage
    entry = stage.entry
    # A gang fails as one: its failed runs are counted once, on its first
    # task.
    counted_task = stage.tasks[0] if stage.step.gang else task
    if stage.step.long_running:
        # There is no limit of attempts; the record names the last of them.
        counted_task.failed_runs = {run}
    else:
        counted_task.failed_runs.add(run)
    stage.failed_ids.add(endpoint.endpoint_id)
    # The endpoint has outlasted the run.
    task.crash_history = _crash_history.NO_CRASHES
    queue = cell_state.queue_by_name.get(entry.job.queue.name, entry.job.queue)
    failures = len(counted_task.failed_runs)
    cell_state.log_decision(
        "run failed",
        entry.job.job_id,
        task=task.task_id.position,
        run=run,
        failures=failures,
        most=queue.max_attempts,
        endpoint=endpoint.endpoint_id,
    )
    if stage.step.long_running:
        return
    cell_state.mark_dirty(entry)
    if failures >= queue.max_attempts:
        cell_state.finish(
            entry,
            _work.JobState.FAILED,
            now_ms,
            task=task.task_id.position,
            failures=failures,
        )


def _copy_checkpoint(task):
    if task.stage.step.gang:
        for member in task.stage.tasks:
            member.saved = task.saved
