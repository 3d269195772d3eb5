"""Policy that distinguishes failing workers from failing jobs."""

import collections

from samphiregate.core import base
from samphiregate.core.quarantine import _messages
from samphiregate.core.quarantine import _records
from samphiregate import parameters

# Workers on which a job has to fail to be suspected.
SUSPECT_JOB_WORKER_COUNT = 2


class QuarantinePolicy(base.Policy):
    """Attributes failures to workers or jobs by where else they occur.

    Parameters
    ----------
    worker_failures : int
        Failures attributed to a worker after which it is quarantined.
    job_places : int
        Healthy workers (ones that are not quarantined) on which a job has
        to fail before it is not started again.
    job_failures : int
        Failures without a success after which a job is not started again,
        on whichever workers they were.
    first_gap_ms : int
        Gap before the first probe of a quarantined worker, in
        milliseconds; each failed probe doubles it.
    last_gap_ms : int
        Upper bound of the gap, in milliseconds.
    probe_ttl_ms : int
        Time after which a probe that has not ended no longer prevents the
        next one, in milliseconds.
    max_jobs : int
        Limit of the job histories; beyond it, the job whose last task end
        is the longest ago is dropped.
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    Each job that failed on a worker since the worker's last success counts
    as one failure of the worker; if the job has ever succeeded, each of its
    failures counts. A job that has failed on another worker before and has
    not succeeded since is suspected: its failures don't count for the
    worker, and its failed probe doesn't lengthen the gap. Otherwise a few
    bad jobs would quarantine all of the few workers that can run them. Once a
    job has failed on `job_places` healthy workers or `job_failures` times,
    its failures no longer count for its workers, and their quarantine ends
    if too few other failures are left. A failure on a quarantined worker
    does not count against a job's `job_places`. A success ends a quarantine
    and halves the gap with which the next one starts.
    """

    parameter_table = {
        "worker_failures": parameters.Interval(int, 1, 1_000),
        "job_places": parameters.Interval(int, 1, 1_000),
        "job_failures": parameters.Interval(int, 1, 100_000),
        "first_gap_ms": parameters.Interval(int, 1, 3_600_000),
        "last_gap_ms": parameters.Interval(int, 1, 86_400_000),
        "probe_ttl_ms": parameters.Interval(int, 1, 86_400_000),
        "max_jobs": parameters.Interval(int, 1, 10_000_000),
    }

    def __init__(
        self,
        *,
        worker_failures=3,
        job_places=3,
        job_failures=10,
        first_gap_ms=5_000,
        last_gap_ms=600_000,
        probe_ttl_ms=600_000,
        max_jobs=50_000,
        random_state=None,
    ):
        self.worker_failures = worker_failures
        self.job_places = job_places
        self.job_failures = job_failures
        self.first_gap_ms = first_gap_ms
        self.last_gap_ms = last_gap_ms
        self.probe_ttl_ms = probe_ttl_ms
        self.max_jobs = max_jobs
        self.random_state = random_state
        self.check_parameters()
        self.workers_by_id_ = {}
        self.jobs_by_id_ = collections.OrderedDict()

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies starts and ends of tasks and removals.

        Other events are ignored.
        """

    @observe.register
    def _(self, event: _messages.TaskStarting, now_ms):
        worker = self.workers_by_id_.get(event.worker_id)
        if worker is not None and worker.next_probe_ms is not None:
            worker.probe_job_id = event.job_id
            worker.probe_started_ms = now_ms

    @observe.register
    def _(self, event: _messages.TaskEnded, now_ms):
        if event.succeeded:
            self._record_success(event)
        else:
            self._record_failure(event, now_ms)

    @observe.register
    def _(self, event: _messages.JobRemoved, now_ms):
        self.jobs_by_id_.pop(event.job_id, None)

    @observe.register
    def _(self, event: _messages.WorkerRemoved, now_ms):
        self.workers_by_id_.pop(event.worker_id, None)

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Returns a bool for `MayUseWorker` and `MayRetryJob`.

        Raises TypeError for any other question.
        """
        raise TypeError(
            "expected MayUseWorker or MayRetryJob,"
            f" not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.MayUseWorker, now_ms):
        worker = self.workers_by_id_.get(question.worker_id)
        if worker is None or worker.next_probe_ms is None:
            return True
        if now_ms < worker.next_probe_ms:
            return False
        if worker.probe_job_id is None:
            return True
        return now_ms - worker.probe_started_ms >= self.probe_ttl_ms

    @choose.register
    def _(self, question: _messages.MayRetryJob, now_ms):
        job = self.jobs_by_id_.get(question.job_id)
        return job is None or not self._is_bad(job)

    def describe(self):
        """Returns the quarantined workers and the bad jobs."""
        return {
            "policy": "failure-judge",
            "quarantined": [
                worker_id
                for worker_id, worker in self.workers_by_id_.items()
                if worker.next_probe_ms is not None
            ],
            "bad_jobs": [
                job_id
                for job_id, job in self.jobs_by_id_.items()
                if self._is_bad(job)
            ],
        }

    def _record_success(self, event):
        job = self._get_job_history(event.job_id)
        job.succeeded = True
        job.failures = 0
        job.failed_on.clear()
        worker = self.workers_by_id_.get(event.worker_id)
        if worker is None:
            return
        worker.failures_by_job.clear()
        worker.next_probe_ms = None
        worker.probe_job_id = None
        worker.gap_ms //= 2
        if worker.gap_ms < self.first_gap_ms:
            del self.workers_by_id_[event.worker_id]

    def _record_failure(self, event, now_ms):
        job = self._get_job_history(event.job_id)
        job.failures += 1
        job.failed_on[event.worker_id] = None
        worker = self.workers_by_id_.get(event.worker_id)
        if worker is None:
            worker = _records.WorkerHistory()
            self.workers_by_id_[event.worker_id] = worker
        is_suspected = len(job.failed_on) >= SUSPECT_JOB_WORKER_COUNT
        if not is_suspected:
            failures = worker.failures_by_job.get(event.job_id, 0)
            worker.failures_by_job[event.job_id] = failures + 1
        if self._is_bad(job):
            self._withdraw_failures(event.job_id, job)
            if worker.probe_job_id == event.job_id:
                worker.probe_job_id = None
            return
        if worker.probe_job_id == event.job_id:
            self._quarantine(
                worker, now_ms, gap_factor=1 if is_suspected else 2
            )
        elif worker.next_probe_ms is None:
            if self._attributed_failures(worker) >= self.worker_failures:
                self._quarantine(worker, now_ms)

    def _get_job_history(self, job_id):
        job = self.jobs_by_id_.get(job_id)
        if job is None:
            job = self.jobs_by_id_[job_id] = _records.JobHistory()
            if len(self.jobs_by_id_) > self.max_jobs:
                self.jobs_by_id_.popitem(last=False)
        else:
            self.jobs_by_id_.move_to_end(job_id)
        return job

    def _is_bad(self, job):
        if job.failures >= self.job_failures:
            return True
        worker_count = sum(
            1 for worker_id in job.failed_on if self._is_healthy(worker_id)
        )
        return worker_count >= self.job_places

    def _is_healthy(self, worker_id):
        worker = self.workers_by_id_.get(worker_id)
        return worker is None or worker.next_probe_ms is None

    def _attributed_failures(self, worker):
        total = 0
        for job_id, failures in worker.failures_by_job.items():
            job = self.jobs_by_id_.get(job_id)
            has_succeeded = job is not None and job.succeeded
            total += failures if has_succeeded else 1
        return total

    def _quarantine(self, worker, now_ms, gap_factor=2):
        gap_ms = max(worker.gap_ms * gap_factor, self.first_gap_ms)
        worker.gap_ms = min(gap_ms, self.last_gap_ms)
        worker.next_probe_ms = now_ms + worker.gap_ms
        worker.probe_job_id = None

    def _withdraw_failures(self, job_id, job):
        """Removes a bad job's failures from its workers.

        Ends the quarantine of workers with too few other failures.
        """
        for worker_id in job.failed_on:
            worker = self.workers_by_id_.get(worker_id)
            if worker is None:
                continue
            worker.failures_by_job.pop(job_id, None)
            if self._attributed_failures(worker) < self.worker_failures:
                if worker.next_probe_ms is not None:
                    worker.next_probe_ms = None
                    worker.gap_ms //= 2
