"""One isolated request edge; the test answers in place of the owners."""

import random

from features.support import requests as fakes
from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core import requests

VM_ID = "vm-0"
OWNERS = tuple(f"owner-{number}" for number in range(5))
SLOT_COUNT = 10_000


class IsolatedEdge:
    """An edge with the attempts and answers that it sent.

    Parameters
    ----------
    **edge_params
        Parameters of the `RequestEdge`.
    """

    def __init__(self, **edge_params):
        self.now_ms = 0
        self.dispatches = []
        self.answers_by_id = {}
        membership = fakes.FakeMembership()
        for vm_id in (VM_ID, *OWNERS):
            membership.data_centre_by_vm[vm_id] = fakes.DATA_CENTRE
        self.edge = requests.RequestEdge(
            vm_id=VM_ID,
            data_centre=fakes.DATA_CENTRE,
            configuration_replica=fakes.FakeReplica(),
            membership=membership,
            random_state=random.Random(1),
            **edge_params,
        )

    def deliver_loads(self, *owners):
        """Delivers the loads of owners in a summary from a peer."""
        service = requests.ServiceLoad(fakes.SERVICE, SLOT_COUNT, 0, 0, 10.0)
        loads = tuple(
            requests.VmLoad(owner, fakes.DATA_CENTRE, 1, services=(service,))
            for owner in owners
        )
        self.deliver(OWNERS[0], requests.LoadSummary(loads))

    def deliver(self, sender, message):
        """Delivers a message of a peer."""
        self.deliver_event(base.PeerDelivered(sender, message))

    def deliver_event(self, event):
        """Delivers an event and records the attempts and answers."""
        for action in self.edge.handle(event, self.now_ms):
            if isinstance(action, requests.AnswerCaller):
                assert action.request_id not in self.answers_by_id
                self.answers_by_id[action.request_id] = action
            elif isinstance(action.message, requests.DispatchRequest):
                self.dispatches.append(action)

    def arrive(self, request_id, team="huts", idempotent=True):
        """Delivers a caller's request."""
        event = requests.RequestArrived(
            request_id=request_id,
            queue=fakes.QUEUE,
            key_hash=f"hash-{team}",
            idempotent=idempotent,
            deadline_ms=self.now_ms + fakes.DEADLINE_MS,
        )
        self.deliver_event(event)

    def attempts(self, request_id):
        """Returns the attempts at a request, oldest first."""
        return [
            action
            for action in self.dispatches
            if action.message.request_id == request_id
        ]

    def end_attempt(self, sender, request_id, attempt, outcome, full=False):
        """Delivers the end of an attempt."""
        load = None
        if full:
            load = requests.ServiceLoad(fakes.SERVICE, 1, 1, 50, 10.0)
        if outcome == "answered":
            message = requests.RequestFinished(
                request_id,
                attempt,
                model.AttemptOutcome.ANSWERED,
                status=200,
                load=load,
            )
        elif outcome == "unknown":
            message = requests.RequestFinished(
                request_id, attempt, model.AttemptOutcome.UNKNOWN
            )
        else:
            code = fakes.errors.ErrorCode(outcome)
            message = requests.RequestRefused(request_id, attempt, code)
        self.deliver(sender, message)

    def end_all_attempts(self, outcome):
        """Ends all attempts with one outcome, including later retries."""
        ended = 0
        while ended < len(self.dispatches):
            action = self.dispatches[ended]
            message = action.message
            self.end_attempt(
                action.recipient, message.request_id, message.attempt, outcome
            )
            ended += 1

    def tick(self, duration_ms):
        """Advances the time and delivers a tick."""
        self.now_ms += duration_ms
        self.deliver_event(base.Tick())
