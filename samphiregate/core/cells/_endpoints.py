"""State of the endpoints that run the tasks of a cell."""

import collections
import math

import attrs

from samphiregate.core.cells import _endpoint_speeds
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work

RACK_LABEL_INDEX = 1


@attrs.define(eq=False)
class Endpoint:
    """An endpoint: its latest registration and the runs that may be there.

    Attributes
    ----------
    registration : EndpointRegistered
        Its latest entry in the store.
    endpoint_id : str
    registered : bool
        Whether the entry still exists.
    described_unix_ms : int
        Start of the incarnation that the entry describes; 0 if it does not
        say.
    incarnation_known_ms : int
        When the present incarnation became known, if it is not the first.
    has_answered : bool
        Whether it has answered a poll under the current epoch.
    failed_polls : int
        Polls that failed since the last answer.
    unreachable_since_ms : int
        When the first of these failed.
    clock_ms : int
        Its steady clock in the last answer.
    answered_ms : int
        Local time of the last answer.
    lease_until_ms : int
        Local time by which every run ordered so far has ended unless the
        lease is extended, or the endpoint has restarted; see
        `lease_ends_ms`.
    doubtful_until_ms : int
        Local time by which the leases have ended that a later incarnation
        may have got from orders by the clock before; 0 if there is none.
    free : Resources
        Room that is not reserved; negative where it is overbooked.
    bookings_by_run : dict
        Runs that may exist, keyed by task id and run number.
    handled_upto, stored_upto : int
        Numbers of the last end applied and of the last one stored.
    unstored_ends : deque
        Number, job id and record version of ends that are not stored yet.
    polls_in_flight : int
    was_unwatched : bool
        Whether it could have restarted before the poll in flight was sent,
        as none was in flight.
    first_polled_ms : int or None
        When the present owner first polled it.
    next_check_ms : int
        No further poll before this time to check that it still answers.
    next_poll_ms : int
        No poll before this time.
    backoff_until_ms : int
        No start before this time, after a refused start; the backoff after
        failed tasks is in `FailureBackoff`.
    leaves_ms : float
        Earliest time at which it leaves; infinite while it does not drain.
    cold_until_ms : int
        Until when it is slow after its start, as its entry says.
    overdue_from_ms : float
        No end of a run is overdue before this time.
    lapsed_bookings : list of Booking
        Runs that were released as their lease had expired, while it is not
        known whether its process has ended.
    lapsed_ms : int
        When they were released.
    speed : EndpointSpeed
        That of its present incarnation.
    """

    registration: _messages.EndpointRegistered
    registered: bool = True
    described_unix_ms: int = 0
    incarnation_known_ms: int = 0
    has_answered: bool = False
    failed_polls: int = 0
    unreachable_since_ms: int = 0
    clock_ms: int = 0
    answered_ms: int = 0
    lease_until_ms: int = 0
    doubtful_until_ms: int = 0
    free: _work.Resources = _work.ZERO_RESOURCES
    bookings_by_run: dict = attrs.field(factory=dict)
    handled_upto: int = 0
    stored_upto: int = 0
    unstored_ends: collections.deque = attrs.field(factory=collections.deque)
    polls_in_flight: int = 0
    was_unwatched: bool = False
    first_polled_ms: int | None = None
    next_check_ms: int = 0
    next_poll_ms: int = 0
    backoff_until_ms: int = 0
    leaves_ms: float = math.inf
    cold_until_ms: int = 0
    overdue_from_ms: float = math.inf
    lapsed_bookings: list = attrs.field(factory=list)
    lapsed_ms: int = 0
    speed: _endpoint_speeds.EndpointSpeed = attrs.field(
        factory=_endpoint_speeds.EndpointSpeed
    )
    endpoint_id: str = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.free = self.registration.capacity
        self.endpoint_id = self.registration.endpoint_id
        self.described_unix_ms = self.registration.started_unix_ms

    @property
    def rack(self):
        """Label of its rack; empty if it has none."""
        labels = self.registration.labels
        return (
            labels[RACK_LABEL_INDEX] if len(labels) > RACK_LABEL_INDEX else ""
        )

    @property
    def may_start(self):
        """Whether new tasks can be placed there."""
        return (
            self.registered
            and self.has_answered
            and not self.failed_polls
            and not self.registration.draining
            and self.is_described
        )

    @property
    def is_described(self):
        """Whether its entry tells of the present incarnation.

        The next one may be of another kind and capacity.
        """
        return self.described_unix_ms in (0, self.registration.started_unix_ms)

    @property
    def is_overbooked(self):
        """Whether its runs need more than its capacity, which has shrunk."""
        return not _work.ZERO_RESOURCES.fits_in(self.free)

    @property
    def is_only_remembered(self):
        """Whether nothing of it is left but runs whose lease had expired."""
        return (
            not self.registered
            and not self.bookings_by_run
            and bool(self.lapsed_bookings)
        )

    def acknowledged_upto(self, now_ms):
        """Returns the number up to which the endpoint may discard ends.

        The numbers start again when the endpoint restarts, and a number of
        the previous incarnation must not discard ends of the new one. So
        the result is 0 if the endpoint has had time to restart since its
        last answer.
        """
        quiet_ms = now_ms - self.answered_ms
        if self.failed_polls or quiet_ms >= _leases.MIN_RESTART_MS:
            return 0
        return self.stored_upto

    @property
    def lease_ends_ms(self):
        """Local time by which every run ordered so far has ended."""
        return max(self.lease_until_ms, self.doubtful_until_ms)

    def extend_lease(self, now_ms, lease_ms, max_hold_ms):
        """Extends the lease and returns its end on the endpoint's clock.

        Parameters
        ----------
        now_ms : int
        lease_ms : int
        max_hold_ms : int
            To which the endpoint shortens a longer lease.
        """
        self.expect_lease(now_ms + _leases.max_lease_ms(lease_ms))
        if _leases.is_doubtful(self, now_ms):
            self.doubtful_until_ms = now_ms + _leases.max_lease_ms(max_hold_ms)
        return _leases.deadline_ms(self, now_ms, lease_ms)

    def expect_lease(self, until_ms):
        """Counts on a lease that others than this order may have granted.

        Parameters
        ----------
        until_ms : int
            Local time by which it has ended.
        """
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    @property
    def has_ordered_runs(self):
        """Whether runs may exist there, not only reservations."""
        planned = _tasks.RunState.PLANNED
        return any(
            booking.state is not planned
            for booking in self.bookings_by_run.values()
        )

    def reserve(self, booking):
        """Reserves the room of a run."""
        self.bookings_by_run[booking.key] = booking
        booking.task.bookings_by_run[booking.run] = booking
        self.free -= booking.step.booked
        self.expect_end(booking)

    def expect_end(self, booking):
        """Expects the end of a run that was reserved or ordered now."""
        if not booking.step.long_running:
            self.overdue_from_ms = min(
                self.overdue_from_ms, booking.overdue_ms
            )

    def release(self, booking):
        """Releases the room of a run that is known to have ended."""
        if self.bookings_by_run.pop(booking.key, None) is None:
            return
        booking.task.bookings_by_run.pop(booking.run, None)
        self.free += booking.step.booked

    def update_registration(self, registration):
        """Applies a new registration of the same incarnation."""
        self.free += registration.capacity - self.registration.capacity
        self.registration = registration

    def advance_stored(self, stored_version_of):
        """Advances `stored_upto` past the ends whose records are stored.

        Parameters
        ----------
        stored_version_of : callable
            Takes a job id; returns the record version in the store, or None
            for a job that the cell no longer holds.

        Returns
        -------
        bool
            Whether there were unstored ends and none is left.
        """
        had_any = bool(self.unstored_ends)
        while self.unstored_ends:
            number, job_id, version = self.unstored_ends[0]
            stored = stored_version_of(job_id)
            if stored is not None and stored < version:
                return False
            self.stored_upto = number
            self.unstored_ends.popleft()
        return had_any

    def update_leave_time(self, now_ms):
        """Updates `leaves_ms`: the earliest time announced while draining."""
        if not self.registration.draining:
            self.leaves_ms = math.inf
        elif self.registration.remaining_ms is not None:
            earliest_ms = now_ms + self.registration.remaining_ms
            self.leaves_ms = min(self.leaves_ms, earliest_ms)

    def update_cold_time(self, now_ms):
        """Updates `cold_until_ms` from the registration."""
        self.cold_until_ms = now_ms + self.registration.cold_left_ms

    def reset_incarnation(self, now_ms):
        """Resets what belongs to an earlier incarnation of the endpoint."""
        self.incarnation_known_ms = now_ms
        self.expect_lease(self.doubtful_until_ms)
        self.doubtful_until_ms = 0
        self.has_answered = False
        self.handled_upto = 0
        self.stored_upto = 0
        self.unstored_ends.clear()
        self.speed = _endpoint_speeds.EndpointSpeed()

    @property
    def has_latency_target(self):
        """Whether any run there has a latency target."""
        return any(
            booking.step.latency_target_ms
            for booking in self.bookings_by_run.values()
        )

    def has_overdue_end(self, now_ms):
        """Whether an expected end of a run was not reported in time.

        The answer to the poll in flight may have been lost.
        """
        if now_ms < self.overdue_from_ms:
            return False
        if self.polls_in_flight != 1 or self.failed_polls:
            return False
        pending = [
            booking
            for booking in self.bookings_by_run.values()
            if not booking.step.long_running
            and booking.overdue_ms > self.answered_ms
        ]
        self.overdue_from_ms = min(
            (booking.overdue_ms for booking in pending), default=math.inf
        )
        return any(
            booking.state is _tasks.RunState.RUNNING
            and booking.overdue_ms <= now_ms
            for booking in pending
        )

    def expected_room_at(self, at_ms):
        """Returns the room expected at a time, by the run time estimates.

        A long-running task ends only if it is being stopped.
        """
        room = self.free
        for booking in self.bookings_by_run.values():
            ends_ms = booking.sent_ms + booking.expected_ms
            if booking.will_end and ends_ms <= at_ms:
                room += booking.step.booked
        return room

    def bookings_in(self, state):
        """Returns the bookings of runs in a `RunState`."""
        return [
            booking
            for booking in self.bookings_by_run.values()
            if booking.state is state
        ]
