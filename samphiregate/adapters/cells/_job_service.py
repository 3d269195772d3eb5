"""Accepts, shows and cancels jobs for callers of an entry VM."""

import attrs

from samphiregate.adapters.cells import _deadline_calls
from samphiregate.adapters.cells import _job_writes
from samphiregate.adapters.cells import _keys
from samphiregate.core import cells
from samphiregate import errors

STATE_TIMEOUT_MS = 1_000
OWNER_PROBE_INTERVAL_MS = 200  # while the owner does not answer
WAITING_FRESH_MS = 1_000


class JobService:
    """Serves callers on one entry VM.

    Parameters
    ----------
    cell : str
    relay : StoreRelay
    peers : PeerCalls
    local_cell : callable
        Returns the `Cell` if this VM owns and serves it, else None.
    owner_address : callable
        Returns the peer address of the cell's owner, or None.
    notices : OwnerNotices
    record_limits : RecordLimits
    now_ms, unix_ms : callable
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        cell,
        relay,
        peers,
        local_cell,
        owner_address,
        notices,
        record_limits=cells.RecordLimits(),
        now_ms,
        unix_ms,
        log,
    ):
        self._cell = cell
        self._peers = peers
        self._local_cell = local_cell
        self._owner_address = owner_address
        self._notices = notices
        self._record_limits = record_limits
        self._now_ms = now_ms
        self._unix_ms = unix_ms
        self._log = log
        self._calls = _deadline_calls.DeadlineCalls(relay=relay, now_ms=now_ms)
        self._writes = _job_writes.JobWrites(
            cell=cell, calls=self._calls, now_ms=now_ms
        )
        self._unreachable_address = None
        self._next_probe_ms = 0

    def give_up(self):
        """Ends the waiting calls, whose outcomes stay unknown."""
        self._calls.give_up()

    def submit(self, job, timeout_ms):
        """Stores a job; does nothing if a job with its id exists.

        A job whose cancellation was stored before is accepted, and is
        cancelled.

        Raises
        ------
        SamphiregateError
            `BAD_INPUT` for a job that is too large to be stored or done;
            `UNAVAILABLE` when it is known not to have been accepted;
            `OUTCOME_UNKNOWN` when it may have been.
        """
        self._record_limits.check(job)
        job = attrs.evolve(job, accepted_unix_ms=self._unix_ms())
        value = cells.encode(job)
        self._record_limits.check_size(value)
        submission = self._calls.run_write(
            self._writes.submit, timeout_ms, job.job_id, value
        )
        if submission is not _job_writes.Submission.STORED:
            self._log.write(
                "job known", request=job.job_id, state=submission.value
            )
            return
        self._notices.tell_stored(job)
        self._log.write(
            "job accepted",
            request=job.job_id,
            queue=job.queue.name,
            account=job.account,
        )

    def cancel(self, job_id, timeout_ms):
        """Stores the cancellation of a job.

        Raises
        ------
        SamphiregateError
            `NOT_FOUND` for a job that does not exist, and will not run if a
            submission of it is under way; `UNAVAILABLE` when the cancellation
            is known not to have been stored; `OUTCOME_UNKNOWN` when it may
            have been.
        """
        exists = self._calls.run_write(self._writes.cancel, timeout_ms, job_id)
        self._notices.tell_cancelled(job_id)
        self._log.write("cancel accepted", request=job_id, known=exists)
        if not exists:
            raise _not_found(job_id)

    def state(self, job_id, timeout_ms):
        """Returns the `JobState` of a job.

        Raises
        ------
        SamphiregateError
            `NOT_FOUND` for a job that does not exist; `UNAVAILABLE` when
            neither the owner nor the store answered in time.
        """
        return self._calls.run_read(self._state, timeout_ms, job_id)

    def _state(self, timeout_ms, job_id):
        deadline_ms = self._now_ms() + timeout_ms
        state = self._state_from_owner(job_id)
        if state is not None:
            return state
        return self._state_from_store(job_id, deadline_ms)

    def _state_from_owner(self, job_id):
        cell = self._local_cell()
        if cell is not None:
            return cell.state_of(job_id)
        answer = self._call_owner(cells.AskJobState(self._cell, job_id))
        if isinstance(answer, cells.JobStateIs) and answer.state:
            return cells.JobState(answer.state)
        return None

    def _call_owner(self, message):
        """Returns the owner's answer, or None if it does not answer.

        While it does not, few of the calls are sent: each would keep its
        caller waiting.
        """
        address = self._owner_address()
        if address is None or not self._may_call(address):
            return None
        try:
            answer = self._peers.call(address, message, STATE_TIMEOUT_MS)
        except errors.SamphiregateError as error:
            self._unreachable_address = address
            self._next_probe_ms = self._now_ms() + OWNER_PROBE_INTERVAL_MS
            self._log.write(
                "owner not reached", owner=address, reason=error.detail
            )
            return None
        self._unreachable_address = None
        return answer

    def _may_call(self, address):
        """Whether the owner answered last time, or a probe is due."""
        if address != self._unreachable_address:
            return True
        now_ms = self._now_ms()
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + OWNER_PROBE_INTERVAL_MS
        return True

    def _state_from_store(self, job_id, deadline_ms):
        record = self._calls.read(
            _keys.record(self._cell, job_id), deadline_ms
        )
        if record is not None:
            state = cells.decode(record.value, cells.JobRecord).state
            if state.is_final:
                return state
        job = self._calls.read(_keys.job(self._cell, job_id), deadline_ms)
        if job is None:
            raise _not_found(job_id)
        cancel = self._calls.read(
            _keys.cancel(self._cell, job_id), deadline_ms
        )
        if cancel is not None:
            return cells.JobState.CANCELLED
        if record is not None:
            return cells.JobState.RUNNING
        return cells.JobState.QUEUED

    def waiting(self, queue_name, timeout_ms):
        """Returns the number of a queue's jobs that have not started.

        Raises
        ------
        SamphiregateError
            `UNAVAILABLE` when the owner does not answer in time.
        """
        return self._calls.run_read(self._waiting, timeout_ms, queue_name)

    def _waiting(self, timeout_ms, queue_name):
        del timeout_ms
        cell = self._local_cell()
        if cell is not None:
            return cell.count_waiting(queue_name)
        answer = self._call_owner(cells.AskWaiting(self._cell, queue_name))
        if isinstance(answer, cells.WaitingIs):
            return answer.count
        raise _deadline_calls.unavailable(
            "the owner of the queue does not answer"
        )

    # Requests of other VMs

    def answer_state(self, message):
        """Answers `AskJobState`."""
        cell = self._local_cell()
        if cell is None:
            return cells.NotMine("this VM does not own the cell")
        state = cell.state_of(message.job_id)
        return cells.JobStateIs(state.value if state else "")

    def answer_waiting(self, message):
        """Answers `AskWaiting`."""
        cell = self._local_cell()
        if cell is None:
            return cells.NotMine("this VM does not own the cell")
        return cells.WaitingIs(cell.count_waiting(message.queue))


def _not_found(job_id):
    return errors.SamphiregateError(
        errors.ErrorCode.NOT_FOUND, f"there is no job {job_id}"
    )
