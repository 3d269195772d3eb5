"""Failure histories of workers and jobs."""

import attrs


@attrs.define
class WorkerHistory:
    """Failures on one worker since its last success.

    Parameters
    ----------
    failures_by_job : dict of str to int
        Failures of each job that are attributed to the worker.
    gap_ms : int
        Last gap before a probe; 0 before the first quarantine.
    next_probe_ms : int or None
        Earliest time of the next probe; None if the worker is not
        quarantined.
    probe_job_id : str or None
        Job of the probe in progress, or None.
    probe_started_ms : int
        When that probe started.
    """

    failures_by_job: dict = attrs.field(factory=dict)
    gap_ms: int = 0
    next_probe_ms: int | None = None
    probe_job_id: str | None = None
    probe_started_ms: int = 0


@attrs.define
class JobHistory:
    """Failures of one job since its last success.

    Parameters
    ----------
    failed_on : dict of str to None
        Workers on which it failed, in order of the first failure.
    failures : int
        Number of failures, on any worker.
    succeeded : bool
        Whether a task of it has ever succeeded.
    """

    failed_on: dict = attrs.field(factory=dict)
    failures: int = 0
    succeeded: bool = False
