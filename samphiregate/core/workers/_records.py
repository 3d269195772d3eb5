"""What an owner knows about its workers and the attempts on them."""

import enum
import pathlib

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _peer

BOOKING_CHART = base.Chart.load(
    pathlib.Path(__file__).with_name("booking.yaml")
)
BOOKED = "booked"
SENT = "sent"
RUNNING = "running"
OVER = "over"


@attrs.define
class Booking:
    """One attempt on one worker, from before its start until it is kept.

    Parameters
    ----------
    resources : model.Resources
        What is booked and reserved on the worker.
    declared : model.Resources
        What the job declared.
    run_time_ms : int
        Declared run time; 0 if it has none.
    state : str
        State of `BOOKING_CHART`.
    reason : TaskReason
        Why its end was asked for; `NONE` while it was not.
    end_update : TaskNews or None
        How it ended, while that is not kept by its job's owner.
    on_worker : bool
        Whether the worker has a record of it to be forgotten.
    throttled : bool
        Whether it was told to use no more than is booked.
    """

    attempt_id: _peer.AttemptId
    worker_id: str
    team: str
    work_class: model.WorkClass
    resources: model.Resources
    declared: model.Resources
    urgent: bool = False
    checkpointable: bool = False
    run_time_ms: int = 0
    started_ms: int = 0
    state: str = BOOKING_CHART.initial
    reason: _peer.TaskReason = _peer.TaskReason.NONE
    end_update: _peer.TaskNews | None = None
    on_worker: bool = False
    throttled: bool = False

    def transition(self, event):
        """Takes an event of the chart; returns whether the state changed."""
        state = BOOKING_CHART.next_state(self.state, event)
        changed = state != self.state
        self.state = state
        return changed

    @property
    def is_over(self):
        """Whether the attempt surely does not run, now or later."""
        return self.state == OVER


class WorkerPhase(enum.Enum):
    """How far an owner knows a worker.

    Nothing is placed before `READY`. `FENCED` means that the worker has
    seen a higher epoch.
    """

    INVENTORY = "inventory"
    READY = "ready"
    FENCED = "fenced"


@attrs.define
class WorkerRecord:
    """One owned worker.

    Parameters
    ----------
    previous_owner : str
        Owner before this one, which may have renewed leases on the worker.
    usable : bool
        Whether it takes new work.
    room : model.Resources
        What it could take when that was last reckoned.
    was_exceeded : bool
        Whether its last sample showed more in use than it has.
    known : bool
        Whether every attempt that may run there is in `bookings_by_id`.
    clock_ms, clock_read_ms : int
        The worker's clock, and this VM's when that was received.
    renewed_ms : int
        When an exchange that may have renewed leases was last sent.
    flying : ExchangeWithWorker or None
        The exchange under way.
    seen_cut_ms : int
        Samples taken before show over-use that is being cut back.
    """

    info: model.WorkerInfo
    shard: model.ShardId
    epoch: int
    allocation: placement.WorkerAllocation
    previous_owner: str = ""
    phase: WorkerPhase = WorkerPhase.INVENTORY
    inventory_complete: bool = False
    listed: bool = True
    sequence: int = 0
    incarnation: str = ""
    clock_ms: int = 0
    clock_read_ms: int = 0
    renewed_ms: int | None = None
    next_exchange_ms: int = 0
    usable: bool = True
    room: model.Resources = model.Resources()
    was_overused: bool = False
    in_flight: _messages.ExchangeWithWorker | None = None
    commands: list[_messages.Command] = attrs.field(factory=list)
    bookings_by_id: dict[_peer.AttemptId, Booking] = attrs.field(factory=dict)
    used_by_task: dict[model.TaskId, model.Resources] = attrs.field(
        factory=dict
    )
    used_total: model.Resources = model.Resources()
    used_ours: model.Resources = model.Resources()
    sampled_ms: int = 0
    reduction_effective_ms: int = 0
