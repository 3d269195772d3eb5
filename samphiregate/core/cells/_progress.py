"""Converts the progress of a job to its record in the store, and back."""

import attrs

from samphiregate.core.cells import _compact_records
from samphiregate.core.cells import _crash_history
from samphiregate.core.cells import _number_ranges
from samphiregate.core.cells import _records
from samphiregate.core.cells import _tasks


def to_row(entry, registration_of, limits):
    """Returns the `StoredRow` of a job for the store; see `to_record`.

    A job that has ended, and of which no run can exist, loses its steps
    and its payload: most stored jobs have ended, and a new owner reads
    them all. From then on its record names no runs, as it has no steps
    to restore them to; an owner that finds one stops it. So does a job
    whose record the store has refused as too large.

    Parameters
    ----------
    entry : JobEntry
    registration_of : callable
        Takes an endpoint id; returns its `EndpointRegistered`.
    limits : RecordLimits
    """
    has_ended = entry.is_record_refused or (
        entry.state.is_final and not any(entry.bookings())
    )
    if not entry.is_compacted and not has_ended:
        record = _bounded(entry, to_record(entry, registration_of), limits)
        record = _records.encode(record)
        return _records.StoredRow(entry.job.job_id, entry.version, record)
    record = _records.JobRecord(entry.state, (), entry.ended_unix_ms)
    job = attrs.evolve(entry.job, payload="", steps=(), schedule=None)
    return _records.StoredRow(
        entry.job.job_id,
        entry.version,
        _records.encode(record),
        None if entry.is_compacted else _records.encode(job),
    )


def to_record(entry, registration_of):
    """Returns the progress of a job as a `JobRecord` for the store.

    Occurrences that have ended are left out.

    Parameters
    ----------
    entry : JobEntry
    registration_of : callable
        Takes an endpoint id; returns its `EndpointRegistered`.
    """
    stages = tuple(
        record
        for stage in entry.stages_by_key.values()
        if (record := _stage_record(stage))
    )
    registration_by_id = {
        endpoint_id: registration_of(endpoint_id)
        for stage_record in stages
        for _index, _run, endpoint_id in (
            *stage_record.placed,
            *stage_record.lapsed,
        )
    }
    return _records.JobRecord(
        entry.state,
        stages,
        entry.ended_unix_ms,
        {key: one.address for key, one in registration_by_id.items()},
        {
            key: one.started_unix_ms
            for key, one in registration_by_id.items()
            if one.started_unix_ms
        },
    )


def _bounded(entry, record, limits):
    """Returns the record as it is stored, within the limits."""
    record = _compact_records.limit_saved(record, limits.max_saved_bytes)
    if limits.is_wide(entry.job):
        return attrs.evolve(
            _compact_records.compact(record),
            ended_occurrences=entry.ended_occurrences.rows(),
        )
    ended = tuple(
        _records.StageRecord(occurrence, step, all_done=True)
        for occurrence in entry.ended_occurrences
        for step in range(len(entry.job.steps))
    )
    return attrs.evolve(record, stages=ended + record.stages)


def restore(entry, record):
    """Restores the progress of a job from the record of an earlier owner."""
    entry.state = record.state
    entry.ended_unix_ms = record.ended_unix_ms
    entry.ended_occurrences = _number_ranges.NumberRanges(
        record.ended_occurrences
    )
    for stage_record in record.stages:
        key = (stage_record.occurrence, stage_record.step)
        if key not in entry.stages_by_key:
            entry.add_occurrence(stage_record.occurrence)
        _restore_stage(entry.stages_by_key[key], stage_record)


def _stage_record(stage):
    if stage.is_done and not stage.has_bookings:
        return _records.StageRecord(
            stage.occurrence, stage.number, all_done=True
        )
    done = tuple(
        index for index, task in enumerate(stage.tasks) if task.is_done
    )
    failures = {
        index: tuple(sorted(task.failed_runs))
        for index, task in enumerate(stage.tasks)
        if task.failed_runs and not task.is_done
    }
    saved = {
        index: task.saved
        for index, task in enumerate(stage.tasks)
        if task.saved and not task.is_done
    }
    placed = tuple(
        (index, booking.run, booking.endpoint_id)
        for index, task in enumerate(stage.tasks)
        for booking in task.bookings_by_run.values()
    )
    crashes = {
        index: task.crash_history
        for index, task in enumerate(stage.tasks)
        if task.crash_history != _crash_history.NO_CRASHES and not task.is_done
    }
    lapsed = tuple(
        (index, run, endpoint_id)
        for index, task in enumerate(stage.tasks)
        for run, endpoint_id in task.lapsed_by_run.items()
        if not task.is_done
    )
    preempted = {
        index: task.preempted_count
        for index, task in enumerate(stage.tasks)
        if task.preempted_count and not task.is_done
    }
    last_run = max(task.last_run for task in stage.tasks)
    if not last_run:
        return None
    return _records.StageRecord(
        stage.occurrence,
        stage.number,
        False,
        done,
        failures,
        saved,
        last_run,
        placed,
        crashes,
        lapsed,
        preempted,
    )


def _restore_stage(stage, stage_record):
    for index, task in enumerate(stage.tasks):
        if stage_record.all_done or index in stage_record.done:
            _tasks.mark_done(task)
        task.failed_runs.update(stage_record.failures.get(index, ()))
        task.saved = stage_record.saved.get(index, "")
        task.last_run = stage_record.last_run
        task.crash_history = stage_record.crashes.get(
            index, _crash_history.NO_CRASHES
        )
        task.preempted_count = stage_record.preempted.get(index, 0)
        if task.is_open:
            stage.entry.note_open(task)
        # The record does not tell which of the tasks ran.
        task.interrupted_ms = 0
