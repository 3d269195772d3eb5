"""Forwards the calls of callers from the entry VM that received them."""

import hashlib

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _messages
from samphiregate.core.jobs import _peer
from samphiregate.core import model
from samphiregate import errors

ID_HEX_DIGIT_COUNT = 20
ID_BIT_COUNT = 80
MAX_HOPS = 3


def data_centre_of(job_id):
    """Returns the data centre in a job's id, or an empty string."""
    return job_id.rpartition("-")[0]


@attrs.define
class PendingCall:
    """A call that has not been answered yet.

    Parameters
    ----------
    message : base.PeerMessage
        Message that is resent until it is answered.
    data_centre : str
        Data centre of the job; for lists, that of this entry VM.
    deadline_ms : int
        When the call fails, or a list is answered as incomplete.
    next_try_ms : int
        When the message is resent.
    was_sent : bool
        Whether an owner may have received the call.
    unanswered_ids : set of str
        For lists, entry VMs that have not answered.
    views : list of JobView
        For lists, the jobs received so far.
    """

    message: base.PeerMessage
    data_centre: str
    deadline_ms: int
    next_try_ms: int
    was_sent: bool = False
    unanswered_ids: set[str] = attrs.field(factory=set)
    views: list[_messages.JobView] = attrs.field(factory=list)


class CallForwarder:
    """Forwards calls to the owners of jobs until they are answered.

    Parameters
    ----------
    vm_id, data_centre : str
        This entry VM and its data centre.
    ownership, membership : object
        Provide the owner of a shard and the entry VMs that are alive.
    random_state : random.Random
        Generates job ids and chooses entry VMs of other data centres.
    shard_count : int
        Number of shards of each data centre.
    timeout_ms : int
        Timeout of a call, in addition to the wait that it requests.
    retry_ms : int
        Time after which an unanswered call is forwarded again. Owners
        recognise repeated calls.
    """

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        ownership,
        membership,
        random_state,
        shard_count,
        timeout_ms,
        retry_ms,
    ):
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._ownership = ownership
        self._membership = membership
        self._random = random_state
        self._shard_count = shard_count
        self._timeout_ms = timeout_ms
        self._retry_ms = retry_ms
        self._data_centres = (data_centre,)
        self._pending_by_id = {}

    def apply_data_centres(self, names):
        """Updates the names of all data centres."""
        data_centres = {self._data_centre, *names}
        self._data_centres = tuple(sorted(data_centres))

    @base.singledispatchmethod
    def start(self, event, now_ms):
        """Starts a call and returns actions."""
        raise TypeError(
            "expected SubmitJob, ShowJob, CancelJob or ListJobs, not "
            f"{type(event).__name__}"
        )

    @start.register
    def _(self, event: _messages.SubmitJob, now_ms):
        job_id = self._new_job_id(event)
        spec = attrs.evolve(event.spec, job_id=job_id)
        message = _peer.ForwardSubmit(self._vm_id, event.call_id, spec)
        return self._start_call(event.call_id, message, job_id, 0, now_ms)

    @start.register
    def _(self, event: _messages.ShowJob, now_ms):
        message = _peer.ForwardShow(
            self._vm_id,
            event.call_id,
            event.team,
            event.job_id,
            event.wait_ms,
        )
        return self._start_call(
            event.call_id, message, event.job_id, event.wait_ms, now_ms
        )

    @start.register
    def _(self, event: _messages.CancelJob, now_ms):
        message = _peer.ForwardCancel(
            self._vm_id, event.call_id, event.team, event.job_id
        )
        return self._start_call(
            event.call_id, message, event.job_id, 0, now_ms
        )

    @start.register
    def _(self, event: _messages.ListJobs, now_ms):
        message = _peer.ForwardList(self._vm_id, event.call_id, event.team)
        alive = self._membership.alive_ids(self._data_centre)
        unanswered_ids = {self._vm_id, *alive}
        self._pending_by_id[event.call_id] = PendingCall(
            message,
            self._data_centre,
            now_ms + self._timeout_ms,
            now_ms + self._retry_ms,
            unanswered_ids=unanswered_ids,
        )
        return [
            base.SendToPeer(vm_id, message) for vm_id in sorted(unanswered_ids)
        ]

    def relay(self, message, now_ms):
        """Returns actions that relay a message towards the job's owner.

        There are none after `MAX_HOPS` hops, or if the owner is unknown or
        is this entry VM; the VM that received the call resends it.
        """
        if message.hops >= MAX_HOPS:
            return []
        target = self._next_hop(message)
        if target is None or target == self._vm_id:
            return []
        onward = attrs.evolve(message, hops=message.hops + 1)
        return [base.SendToPeer(target, onward)]

    def on_answer(self, sender, answer, now_ms):
        """Handles an owner's answer; ignores answers to calls that ended."""
        pending = self._pending_by_id.get(answer.call_id)
        if pending is None:
            return []
        if not isinstance(pending.message, _peer.ForwardList):
            del self._pending_by_id[answer.call_id]
            return [answer]
        if sender not in pending.unanswered_ids:
            return []
        pending.unanswered_ids.discard(sender)
        pending.views += answer.jobs
        if pending.unanswered_ids:
            return []
        return [self._list_answer(answer.call_id)]

    def tick(self, now_ms):
        """Resends unanswered calls and ends those that timed out."""
        actions = []
        for call_id, pending in tuple(self._pending_by_id.items()):
            if now_ms >= pending.deadline_ms:
                actions.append(self._timeout_answer(call_id, pending))
            elif now_ms >= pending.next_try_ms:
                pending.next_try_ms = now_ms + self._retry_ms
                actions += self._send(pending)
        return actions

    def _start_call(self, call_id, message, job_id, wait_ms, now_ms):
        data_centre = data_centre_of(job_id)
        if data_centre not in self._data_centres:
            detail = "no job of this team has this id"
            error = errors.ErrorCode.NOT_FOUND
            return [_messages.JobAnswer(call_id, error=error, detail=detail)]
        pending = PendingCall(
            message,
            data_centre,
            now_ms + wait_ms + self._timeout_ms,
            now_ms + self._retry_ms,
        )
        self._pending_by_id[call_id] = pending
        return self._send(pending)

    def _send(self, pending):
        if isinstance(pending.message, _peer.ForwardList):
            return [
                base.SendToPeer(vm_id, pending.message)
                for vm_id in sorted(pending.unanswered_ids)
            ]
        target = self._next_hop(pending.message)
        if target is None:
            return []
        pending.was_sent = True
        return [base.SendToPeer(target, pending.message)]

    def _next_hop(self, message):
        job_id = job_id_of(message)
        data_centre = data_centre_of(job_id)
        shard = model.shard_of(job_id, data_centre, self._shard_count)
        entry = self._ownership.entry_of(shard)
        if entry is not None and entry.owner:
            return entry.owner
        if data_centre == self._data_centre:
            return None
        alive = sorted(self._membership.alive_ids(data_centre))
        return self._random.choice(alive) if alive else None

    def _timeout_answer(self, call_id, pending):
        if isinstance(pending.message, _peer.ForwardList):
            return self._list_answer(call_id)
        del self._pending_by_id[call_id]
        is_submit = isinstance(pending.message, _peer.ForwardSubmit)
        may_have_run = is_submit and pending.was_sent
        return _messages.JobAnswer(
            call_id,
            error=errors.ErrorCode.UNAVAILABLE,
            detail="no owner of the job answered before the timeout",
            ran=errors.Ran.UNKNOWN if may_have_run else errors.Ran.NO,
        )

    def _list_answer(self, call_id):
        pending = self._pending_by_id.pop(call_id)
        views = sorted(pending.views, key=lambda view: view.job_id)
        return _messages.JobAnswer(
            call_id, tuple(views), complete=not pending.unanswered_ids
        )

    def _new_job_id(self, event):
        if not event.idempotency_key:
            number = self._random.getrandbits(ID_BIT_COUNT)
            return f"{self._data_centre}-{number:020x}"
        # With the same list of data centres, every entry VM gives a key the
        # same job id.
        name = f"{event.spec.team}\0{event.idempotency_key}".encode()
        digest = hashlib.sha256(name).hexdigest()[:ID_HEX_DIGIT_COUNT]
        id_data_centre = max(
            self._data_centres,
            key=lambda data_centre: _rendezvous_weight(data_centre, name),
        )
        return f"{id_data_centre}-{digest}"


def _rendezvous_weight(data_centre, name):
    return hashlib.sha256(data_centre.encode() + b"\0" + name).digest()


def job_id_of(message):
    """Returns the id of the job that a forwarded call refers to."""
    if isinstance(message, _peer.ForwardSubmit):
        return message.spec.job_id
    return message.job_id
