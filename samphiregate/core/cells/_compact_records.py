"""Makes the records of jobs smaller, and restores their plain form.

Only records of wide jobs are compacted, as earlier builds can't read them.
"""

import attrs

from samphiregate.core.cells import _number_ranges
from samphiregate.core.cells import _records

MAX_ESCAPED_BYTES = 6  # of one character, as JSON


def limit_saved(record, max_bytes):
    """Returns a `JobRecord` whose checkpoints take at most `max_bytes`.

    Leaves out all of a stage or none, as members of a gang resume from the
    same value. A task whose checkpoint is left out begins anew if its owner
    is lost.
    """
    if _max_saved_bytes(record) <= max_bytes:
        return record
    stages = []
    left_bytes = max_bytes
    for stage in record.stages:
        stage_bytes = len(_records.encode(stage.saved))
        if stage_bytes > left_bytes:
            stage = attrs.evolve(stage, saved={})
        else:
            left_bytes -= stage_bytes
        stages.append(stage)
    return attrs.evolve(record, stages=tuple(stages))


def _max_saved_bytes(record):
    return MAX_ESCAPED_BYTES * sum(
        len(value) + len(str(index))
        for stage in record.stages
        for index, value in stage.saved.items()
    )


def compact(record):
    """Returns a `JobRecord` with ranges in place of single numbers."""
    done_by_occurrence = {}
    for stage in record.stages:
        if stage.all_done:
            numbers = done_by_occurrence.setdefault(stage.occurrence, [])
            numbers.append(stage.step)
    return attrs.evolve(
        record,
        stages=tuple(
            _compact_stage(stage)
            for stage in record.stages
            if not stage.all_done
        ),
        done_steps=tuple(
            (occurrence, first, count)
            for occurrence, numbers in done_by_occurrence.items()
            for first, count in _number_ranges.NumberRanges.of(numbers).rows()
        ),
    )


def expand(record, job):
    """Returns a `JobRecord` of a job with single numbers again.

    Tasks that the job lacks are left out. What `ended_occurrences` names
    stays as it is.
    """
    if not record.done_steps and not any(map(_is_compact, record.stages)):
        return record
    stages = [_expand_stage(stage, job) for stage in record.stages]
    for occurrence, first, count in record.done_steps:
        end = min(first + count, len(job.steps))
        stages += [
            _records.StageRecord(occurrence, step, all_done=True)
            for step in range(max(first, 0), end)
        ]
    return attrs.evolve(record, stages=tuple(stages), done_steps=())


def _is_compact(stage):
    return bool(stage.done_ranges or stage.runs_by_endpoint)


def _compact_stage(stage):
    runs_by_endpoint = {}
    for index, run, endpoint_id in stage.placed:
        runs_by_endpoint.setdefault(endpoint_id, []).append((index, run))
    return attrs.evolve(
        stage,
        done=(),
        done_ranges=_number_ranges.NumberRanges.of(stage.done).rows(),
        placed=(),
        runs_by_endpoint={
            endpoint_id: tuple(rows)
            for endpoint_id, rows in runs_by_endpoint.items()
        },
    )


def _expand_stage(stage, job):
    task_count = 0
    if 0 <= stage.step < len(job.steps):
        task_count = job.steps[stage.step].count
    done = tuple(
        index
        for first, count in stage.done_ranges
        for index in range(max(first, 0), min(first + count, task_count))
    )
    placed = tuple(
        (index, run, endpoint_id)
        for endpoint_id, rows in stage.runs_by_endpoint.items()
        for index, run in rows
    )
    return attrs.evolve(
        stage,
        done=stage.done + done,
        done_ranges=(),
        placed=stage.placed + placed,
        runs_by_endpoint={},
    )
