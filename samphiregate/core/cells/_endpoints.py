"""What an owner knows of the endpoints that run its tasks."""

import collections
import math

import attrs

from samphiregate.core.cells import _messages
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work

MAX_CLOCK_DRIFT_SHARE = 0.02  # most by which an endpoint's clock may be slow
LEASE_MARGIN_MS = 100
MIN_RESTART_MS = 300
RACK_LABEL_INDEX = 1


def max_lease_ms(lease_ms):
    """Returns after how long a lease has surely ended on any endpoint."""
    return round(lease_ms * (1 + MAX_CLOCK_DRIFT_SHARE)) + LEASE_MARGIN_MS


@attrs.define(eq=False)
class Endpoint:
    """An endpoint: what it said of itself, and what may run there.

    Attributes
    ----------
    news : EndpointListed
        What it said of itself last.
    listed : bool
        Whether its entry stands.
    known : bool
        Whether it has answered under the present epoch.
    failed_looks : int
        Looks that failed since the last answer.
    clock_ms, clock_at_ms : int
        Its clock, and the local time at which it was told.
    lease_until_ms : int
        Local time by which everything ordered so far has surely ended, if
        nothing further is sent.
    free : Resources
        Room that is not booked; below 0 of a thing when over-given.
    handled_upto, stored_upto : int
        Numbers of the last end taken in, and of the last one stored.
    unstored_ends : deque
        Number, job id and record version of ends that are not stored yet.
    looks_under_way : int
    look_after_ms : int
        No look before this time.
    rest_until_ms : int
        No start before this time.
    leaves_ms : float
        Earliest time at which it leaves; infinite while it does not drain.
    """

    registration: _messages.EndpointRegistered
    registered: bool = True
    has_answered: bool = False
    failed_polls: int = 0
    clock_ms: int = 0
    answered_ms: int = 0
    lease_until_ms: int = 0
    free: _work.Resources = _work.NOTHING
    bookings_by_run: dict = attrs.field(factory=dict)
    handled_upto: int = 0
    stored_upto: int = 0
    unstored_ends: collections.deque = attrs.field(factory=collections.deque)
    polls_in_flight: int = 0
    next_poll_ms: int = 0
    backoff_until_ms: int = 0
    leaves_ms: float = math.inf

    def __attrs_post_init__(self):
        self.free = self.registration.capacity

    @property
    def endpoint_id(self):
        """Id of the endpoint."""
        return self.registration.endpoint_id

    @property
    def rack(self):
        """Label of its rack; empty if it names none."""
        labels = self.registration.labels
        return (
            labels[RACK_LABEL_INDEX] if len(labels) > RACK_LABEL_INDEX else ""
        )

    @property
    def may_start(self):
        """Whether new tasks may be placed there at all."""
        return (
            self.registered
            and self.has_answered
            and not self.failed_polls
            and not self.registration.draining
        )

    def acknowledged_upto(self, now_ms):
        """Returns up to which number the endpoint may forget ends.

        Numbers begin anew when it restarts, and ends of a new life must not
        be forgotten for those of the last one. So none is told when it had
        time to restart since it answered.
        """
        quiet_ms = now_ms - self.answered_ms
        if self.failed_polls or quiet_ms >= MIN_RESTART_MS:
            return 0
        return self.stored_upto

    def extend_lease(self, now_ms, lease_ms):
        """Returns a lease end on its clock, and notes the lease."""
        self.lease_until_ms = max(
            self.lease_until_ms,
            now_ms + max_lease_ms(lease_ms),
        )
        return self.clock_ms + now_ms - self.answered_ms + lease_ms

    def inherit_lease(self, until_ms):
        """Notes until when runs of an earlier owner may go on."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def reserve(self, booking):
        """Takes the room of a run."""
        self.bookings_by_run[booking.key] = booking
        booking.task.bookings_by_run[booking.run] = booking
        self.free -= booking.step.booked

    def release(self, booking):
        """Gives back the room of a run that has surely ended."""
        if self.bookings_by_run.pop(booking.key, None) is None:
            return
        booking.task.bookings_by_run.pop(booking.run, None)
        self.free += booking.step.booked

    def update_registration(self, registration):
        """Takes in a new entry of the same life."""
        self.free += registration.capacity - self.registration.capacity
        self.registration = registration

    def advance_stored(self, stored_version_of):
        """Passes the ends whose jobs' records are stored.

        Parameters
        ----------
        stored_version_of : callable
            Takes a job id; returns the version that the store has, or None
            for a job that is not held any more.

        Returns
        -------
        bool
            Whether there were such ends and all of them are passed.
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
        """Notes when it leaves, from the first news that it drains."""
        if not self.registration.draining:
            self.leaves_ms = math.inf
        elif self.registration.remaining_ms is not None:
            earliest_ms = now_ms + self.registration.remaining_ms
            self.leaves_ms = min(self.leaves_ms, earliest_ms)

    def reset_incarnation(self):
        """Forgets what was numbered in an earlier life."""
        self.has_answered = False
        self.handled_upto = 0
        self.stored_upto = 0
        self.unstored_ends.clear()

    @property
    def has_latency_target(self):
        """Whether a run there has a latency target."""
        return any(
            booking.step.latency_target_ms
            for booking in self.bookings_by_run.values()
        )

    def has_overdue_end(self, now_ms):
        """Whether an end that was expected was not heard of.

        The answer to the look that waits for it may be lost.
        """
        if self.polls_in_flight != 1 or self.failed_polls:
            return False
        return any(
            booking.state is _tasks.RunState.RUNNING
            and not booking.step.long_running
            and self.answered_ms < booking.overdue_ms <= now_ms
            for booking in self.bookings_by_run.values()
        )

    def expected_room_at(self, at_ms):
        """Returns the room that there probably is at a time."""
        room = self.free
        for booking in self.bookings_by_run.values():
            step = booking.step
            ends_ms = booking.sent_ms + step.estimate_ms
            if not step.long_running and ends_ms <= at_ms:
                room += step.booked
        return room

    def bookings_in(self, state):
        """Returns the runs in a state."""
        return [
            booking
            for booking in self.bookings_by_run.values()
            if booking.state is state
        ]
