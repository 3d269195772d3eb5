"""Makes the records of jobs smaller, and restores their plain form.

Only records of wide jobs are compacted, as earlier builds can't read them.
"""

import itertools

import attrs

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
    ended = sorted(
        (stage.step, stage.occurrence)
        for stage in record.stages
        if stage.all_done
    )
    ended_ranges = tuple(
        (step, first, count)
        for step, rows in itertools.groupby(ended, key=lambda row: row[0])
        for first, count in _ranges(occurrence for _step, occurrence in rows)
    )
    return attrs.evolve(
        record,
        stages=tuple(
            _compact_stage(stage)
            for stage in record.stages
            if not stage.all_done
        ),
        ended_stages=ended_ranges,
    )


def expand(record, job):
    """Returns the plain form of a `JobRecord` of a job.

    Occurrences and tasks that the job lacks are left out.
    """
    if record.ended_stages:
        stages = record.stages + tuple(_expand_ended(record, job))
        record = attrs.evolve(record, stages=stages, ended_stages=())
    if not any(_is_compact(stage) for stage in record.stages):
        return record
    return attrs.evolve(
        record,
        stages=tuple(_expand_stage(stage, job) for stage in record.stages),
    )


def _expand_ended(record, job):
    for step, first, count in record.ended_stages:
        end = min(first + count, job.occurrence_count)
        for occurrence in range(max(first, 0), end):
            yield _records.StageRecord(occurrence, step, all_done=True)


def _is_compact(stage):
    return bool(stage.done_ranges or stage.runs_by_endpoint)


def _compact_stage(stage):
    runs_by_endpoint = {}
    for index, run, endpoint_id in stage.placed:
        runs_by_endpoint.setdefault(endpoint_id, []).append((index, run))
    return attrs.evolve(
        stage,
        done=(),
        done_ranges=tuple(_ranges(stage.done)),
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


def _ranges(numbers):
    """Yields the first number and the length of each run of numbers.

    Parameters
    ----------
    numbers : iterable of int
        In ascending order.
    """
    first = length = None
    for number in numbers:
        if first is not None and number == first + length:
            length += 1
            continue
        if first is not None:
            yield first, length
        first, length = number, 1
    if first is not None:
        yield first, length
