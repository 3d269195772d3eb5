"""Records of owned workers and of the attempts on them."""

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
    """An attempt on a worker, until its end is acknowledged.

    Parameters
    ----------
    resources : model.Resources
        Resources booked and reserved on the worker.
    declared : model.Resources
        Resources that the job declared.
    run_time_ms : int
        Declared run time; 0 if it has none.
    started_ms : int
        When it was booked; once it runs, when it was first reported as
        running.
    state : str
        Current state in `BOOKING_CHART`.
    reason : TaskReason
        Why its end was requested; `NONE` if it was not requested.
    end_update : TaskNews or None
        How it ended, until the owner of its job has acknowledged the end.
    on_worker : bool
        Whether the worker holds a record of it that it has to forget.
    throttled : bool
        Whether a `ThrottleTask` for it was queued.
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
        """Applies an event of the chart; returns whether the state changed."""
        state = BOOKING_CHART.next_state(self.state, event)
        changed = state != self.state
        self.state = state
        return changed

    @property
    def is_over(self):
        """Whether the attempt is known not to run, now or later."""
        return self.state == OVER


class WorkerPhase(enum.Enum):
    """State of the exchanges with a worker.

    In `INVENTORY`, after a takeover, a restart, or a refused or unanswered
    exchange, the owner requests a full report. Tasks are placed only in
    `READY`. `FENCED` means that the worker has received a higher epoch.
    """

    INVENTORY = "inventory"
    READY = "ready"
    FENCED = "fenced"


@attrs.define
class WorkerRecord:
    """An owned worker.

    Parameters
    ----------
    previous_owner : str
        Owner before this one; it may have renewed leases on the worker.
    listed : bool
        Whether the platform lists the worker.
    usable : bool
        Whether new tasks may be placed on it.
    room : model.Resources
        Free resources when last computed.
    was_overused : bool
        Whether its last sample showed more in use than its capacity.
    inventory_complete : bool
        Whether every attempt that may run there is in `bookings_by_id`.
    clock_ms, clock_read_ms : int
        Last reading of the worker's clock, and this VM's time when the
        reading was received.
    renewed_ms : int or None
        When an exchange that may have renewed leases was last sent; None if
        no such lease can be in force.
    in_flight : ExchangeWithWorker or None
        The exchange in flight.
    reduction_effective_ms : int
        Samples taken before this time do not yet show the effect of the last
        reduction of over-use.
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
