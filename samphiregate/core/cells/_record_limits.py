"""Bounds the records of jobs, so that the store takes each of them.

The load that this answers: a job so wide, or with so many occurrences at a
time, that its record would become larger than the store's largest value. A
record names the open tasks of its job: those that have a run, or of which
something is known that the next owner needs. So a job has a bounded number of
open tasks; the others wait for one of them to end.
"""

import attrs

from samphiregate import errors

DEFAULT_MAX_VALUE_BYTES = 1_048_576
OPEN_TASK_BYTES = 512  # what one open task may take in a record
SAVED_SHARE = 0.25  # of a record, for checkpoints


@attrs.frozen
class RecordLimits:
    """What the records of jobs may contain.

    Parameters
    ----------
    max_value_bytes : int
        Size of the largest value that the store takes, in bytes.
    """

    max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES

    @property
    def max_open_tasks(self):
        """Number of tasks of one job that may be open at a time."""
        return max(self.max_value_bytes // OPEN_TASK_BYTES, 1)

    @property
    def max_saved_bytes(self):
        """Size of all checkpoints in one record, in bytes."""
        return round(self.max_value_bytes * SAVED_SHARE)

    def is_wide(self, job):
        """Whether a job has more tasks than may be open at a time."""
        return job.task_count > self.max_open_tasks

    def check(self, job):
        """Raises `BadInputError` for a job that can never be done.

        Tasks of long-running steps stay open, and the members of a gang are
        open together.
        """
        needed = needed_open_tasks(job)
        if needed > self.max_open_tasks:
            raise errors.BadInputError(
                f"{needed} tasks of the job would have to run at the same "
                f"time; the limit for one job is {self.max_open_tasks}"
            )

    def check_size(self, value):
        """Raises `BadInputError` for an encoded job that is too large."""
        if len(value) > self.max_value_bytes:
            raise errors.BadInputError(
                f"the job takes {len(value)} bytes as it is stored; the limit "
                f"is {self.max_value_bytes} bytes"
            )


def needed_open_tasks(job):
    """Returns how many tasks of a job have to be open at the same time."""
    lasting = sum(step.count for step in job.steps if step.long_running)
    others = [
        step.count if step.gang else 1
        for step in job.steps
        if not step.long_running
    ]
    return lasting * job.occurrence_count + max(others, default=0)
