"""What the failure judge keeps of workers and jobs."""

import attrs


@attrs.define
class WorkerHistory:
    """Failures on one worker since its last success.

    Parameters
    ----------
    failures_by_job : dict of str to int
        Failures of each job.
    gap_ms : int
        Length of the last gap between probes; 0 before the first.
    blocked_until_ms : int or None
        When it may be probed; None if it is not quarantined.
    probe_job : str or None
        Job of the probe under way.
    probe_ms : int
        When that probe began.
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
        Workers on which it failed, in order.
    failures : int
        Failures in all.
    succeeded : bool
        Whether a task of it has ever succeeded.
    """

    failed_on: dict = attrs.field(factory=dict)
    failures: int = 0
    succeeded: bool = False
