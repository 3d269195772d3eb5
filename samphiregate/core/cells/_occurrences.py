"""Adds the occurrences of recurring jobs, and forgets those that have ended.

The load that this answers: a job with tens of thousands of occurrences, many
of them due at the same time. Each occurrence that is under way costs the owner
time at each event of its job, so their number is bounded, and those that have
ended are kept as ranges.
"""


def update(cell_state, entry, now_ms, unix_ms):
    """Brings the occurrences of a job in line with the time.

    Parameters
    ----------
    cell_state : CellState
    entry : JobEntry
    now_ms : int
    unix_ms : int
        Time of day, by which occurrences are due.
    """
    if entry.job.schedule is None or entry.state.is_final:
        return
    _forget_ended(entry)
    _add_due(cell_state, entry, now_ms, unix_ms)


def _forget_ended(entry):
    occurrences = {occurrence for occurrence, _step in entry.stages_by_key}
    for occurrence in occurrences:
        if all(
            stage.is_done and not stage.has_bookings
            for stage in entry.stages_of(occurrence)
        ):
            entry.forget_occurrence(occurrence)


def _add_due(cell_state, entry, now_ms, unix_ms):
    """Adds occurrences that are due while few tasks of the job are unfinished.

    The others are added as these end.
    """
    due_count = entry.job.schedule.due_count(unix_ms)
    if entry.added_count >= due_count:
        return
    max_unfinished = cell_state.record_limits.max_open_tasks
    unfinished = sum(
        len(stage.tasks) - stage.done_count
        for stage in entry.stages_by_key.values()
    )
    while entry.added_count < due_count and unfinished < max_unfinished:
        occurrence = entry.added_count
        entry.added_count += 1
        if entry.has_occurrence(occurrence):
            # The record has named it.
            continue
        entry.add_occurrence(occurrence)
        unfinished += sum(step.count for step in entry.job.steps)
    cell_state.open_ready_stages(entry, now_ms)
