"""Edge of an entry VM: admits callers' requests and answers callers."""

import random

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.requests import _admission
from samphiregate.core.requests import _attempts
from samphiregate.core.requests import _gossip
from samphiregate.core.requests import _load
from samphiregate.core.requests import _load_table
from samphiregate.core.requests import _messages
from samphiregate.core.requests import _pending
from samphiregate.core import routing
from samphiregate import errors
from samphiregate import parameters

KEY_CHECK_INTERVAL_MS = 1_000
LOAD_VALID_INTERVALS = 30

_Code = errors.ErrorCode


class RequestEdge(base.StateMachine, parameters.Parameterised):
    """Admits requests, chooses an owner for each, and answers callers.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    data_centre : str
        Its data centre.
    configuration_replica : ConfigurationReplica
        Provides `configuration` and `team_for_key_hash`.
    membership : Membership
        Provides `alive_ids`, for the gossip of loads.
    random_state : random.Random
        Source of randomness.
    routing_policy : str
        Name of the policy that chooses an owner.
    most_pending : int
        Maximum number of unanswered requests at this entry VM.
    most_body_mib : int
        Maximum memory for the bodies of pending requests, in MiB.
    most_attempts : int
        Maximum number of attempts at one request.
    retry_ratio : float
        Retries that each success adds to the budget of its team.
    retry_burst : int
        Maximum number of retries in the budget of a team.
    owner_wait_ms : int
        Longest time that a request waits for an owner of its service's
        runners.
    answer_grace_ms : int
        Time after a deadline in which the owner may still report whether
        the request was executed.
    gossip_ms : int
        Interval between two load summaries.

    Attributes
    ----------
    pending_ : PendingTable
        Requests that have not been answered.
    """

    parameter_table = {
        "most_pending": parameters.Interval(int, 1, 1_000_000),
        "most_body_mib": parameters.Interval(int, 1, 65_536),
        "most_attempts": parameters.Interval(int, 1, 100),
        "retry_ratio": parameters.Interval(float, 0, 1),
        "retry_burst": parameters.Interval(int, 0, 10_000),
        "owner_wait_ms": parameters.Interval(int, 0, 600_000),
        "answer_grace_ms": parameters.Interval(int, 0, 60_000),
        "gossip_ms": parameters.Interval(int, 50, 60_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        configuration_replica,
        membership,
        random_state=None,
        routing_policy="power-of-two",
        most_pending=20_000,
        most_body_mib=16,
        most_attempts=4,
        retry_ratio=0.2,
        retry_burst=20,
        owner_wait_ms=3_000,
        answer_grace_ms=250,
        gossip_ms=1_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.random_state = random_state or random.Random(0)
        self.routing_policy = routing_policy
        self.most_pending = most_pending
        self.most_body_mib = most_body_mib
        self.most_attempts = most_attempts
        self.retry_ratio = retry_ratio
        self.retry_burst = retry_burst
        self.owner_wait_ms = owner_wait_ms
        self.answer_grace_ms = answer_grace_ms
        self.gossip_ms = gossip_ms
        self.check_parameters()
        self.pending_ = _pending.PendingTable()
        self.stopping_ = False
        self._replica = configuration_replica
        self._keys_checked_ms = 0
        self._load_table = _load_table.LoadTable(
            data_centre=data_centre,
            make_router=self._make_router,
            valid_ms=LOAD_VALID_INTERVALS * gossip_ms,
        )
        self._attempts = _attempts.AttemptManager(
            pending_table=self.pending_,
            load_table=self._load_table,
            limits=_attempts.RetryLimits(
                most_attempts=most_attempts,
                retry_ratio=retry_ratio,
                retry_burst=retry_burst,
                owner_wait_ms=owner_wait_ms,
                answer_grace_ms=answer_grace_ms,
            ),
        )
        self._gossip = _gossip.LoadGossip(
            vm_id=vm_id,
            data_centre=data_centre,
            load_table=self._load_table,
            membership=membership,
            random_state=self.random_state,
            interval_ms=gossip_ms,
        )

    @property
    def in_flight(self):
        """Number of unanswered requests."""
        return len(self.pending_)

    def describe(self):
        """Returns counts of pending requests and retries as plain values."""
        return {
            "pending": len(self.pending_),
            "pending_body_bytes": self.pending_.body_bytes,
            "pending_by_team": dict(self.pending_.count_by_team),
            "retries": self._attempts.retries,
            "late_answers": self._attempts.late_answers,
            "owners_known": len(self._load_table.received_by_vm),
        }

    @base.singledispatchmethod
    def handle(self, event, now_ms):
        """Handles one event; see `StateMachine.handle`."""
        return []

    @handle.register
    def _(self, event: _messages.RequestArrived, now_ms):
        if self.pending_.get(event.request_id) is not None:
            return []
        refusal = self._check_arrival(event, now_ms)
        decision = refusal or _admission.admit(
            event.queue, event.key_hash, self._replica
        )
        if isinstance(decision, _admission.Admitted):
            refusal = self._check_limits(decision.team, event)
        else:
            refusal = decision
        if refusal is not None:
            return [_messages.AnswerCaller(event.request_id, refusal)]
        pending = _pending.PendingRequest(
            event, decision.team, decision.service, now_ms
        )
        return self._attempts.start(pending, now_ms)

    @handle.register
    def _(self, event: _messages.CallerDisconnected, now_ms):
        pending = self.pending_.get(event.request_id)
        if pending is None:
            return []
        return self._attempts.cancel(pending)

    @handle.register
    def _(self, event: base.PeerDelivered, now_ms):
        return self._deliver(event.message, event.sender, now_ms)

    @base.singledispatchmethod
    def _deliver(self, message, sender, now_ms):
        return []

    @_deliver.register
    def _(self, message: _messages.RequestRefused, sender, now_ms):
        return self._attempts.on_refused(message, sender, now_ms)

    @_deliver.register
    def _(self, message: _messages.RequestFinished, sender, now_ms):
        return self._attempts.on_finished(message, sender, now_ms)

    @_deliver.register
    def _(self, message: _load.LoadSummary, sender, now_ms):
        self._gossip.on_summary(message, now_ms)
        return self._attempts.retry_waiting(now_ms)

    @handle.register
    def _(self, event: _load.LoadChanged, now_ms):
        actions = self._gossip.on_own_load(event.load, now_ms)
        return actions + self._attempts.retry_waiting(now_ms)

    @handle.register
    def _(self, event: base.PeerUnreachable, now_ms):
        return self._attempts.on_owner_lost(event.peer_id, now_ms)

    @handle.register
    def _(self, event: fleet.PeerStateChanged, now_ms):
        if event.state is fleet.PeerState.ALIVE:
            return self._gossip.send_own_load(event.vm_id, now_ms)
        self._load_table.remove_vm(event.vm_id, now_ms)
        if event.state is fleet.PeerState.DEAD:
            return self._attempts.on_owner_lost(event.vm_id, now_ms)
        return []

    @handle.register
    def _(self, event: fleet.ConfigurationChanged, now_ms):
        return self._check_keys(now_ms)

    @handle.register
    def _(self, event: base.StopRequested, now_ms):
        self.stopping_ = True
        return []

    @handle.register
    def _(self, event: base.Tick, now_ms):
        actions = self._attempts.expire(now_ms)
        actions += self._gossip.tick(now_ms)
        actions += self._attempts.retry_waiting(now_ms)
        if now_ms - self._keys_checked_ms >= KEY_CHECK_INTERVAL_MS:
            actions += self._check_keys(now_ms)
        return actions

    def _check_arrival(self, request, now_ms):
        if self.stopping_:
            return _messages.Refusal(
                _Code.LEAVING,
                detail="this entry VM is leaving; use another one",
                retry_after_ms=0,
            )
        if request.deadline_ms <= now_ms:
            return _messages.Refusal(
                _Code.DEADLINE_EXCEEDED,
                detail="the deadline passed before the request was admitted",
            )
        return None

    def _check_limits(self, team, request):
        """Returns a refusal if the request exceeds the limits, else None.

        Above 75 % of a limit, only teams below their share are admitted.
        """
        max_bytes = self.most_body_mib << 20
        body_bytes = self.pending_.body_bytes + request.body_bytes
        fill = max(
            (len(self.pending_) + 1) / self.most_pending,
            body_bytes / max_bytes,
        )
        teams = len(self.pending_.count_by_team | {team: 0})
        team_share = self.most_pending / teams
        exceeds_share = self.pending_.count_by_team.get(team, 0) >= team_share
        if fill <= 0.75 or (fill <= 1 and not exceeds_share):
            return None
        return _messages.Refusal(
            _Code.OVERLOADED,
            detail="this entry VM is near its limit of pending requests or"
            " body memory; retry later",
            retry_after_ms=_attempts.RETRY_AFTER_MS,
        )

    def _check_keys(self, now_ms):
        """Refuses pending requests whose key was withdrawn.

        One that already runs is left to its runner.
        """
        self._keys_checked_ms = now_ms
        actions = []
        for key_hash in list(self.pending_.ids_by_key_hash):
            if self._replica.team_for_key_hash(key_hash) is not None:
                continue
            for pending in self.pending_.with_key(key_hash):
                actions += self._attempts.on_key_withdrawn(pending, now_ms)
        return actions

    def _make_router(self):
        if self.routing_policy == "power-of-two":
            return routing.PowerOfTwo(random_state=self.random_state)
        return routing.make_router(self.routing_policy)
