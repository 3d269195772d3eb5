"""Until when the runs of earlier owners may go on at a silent endpoint.

Only an owner that an endpoint has answered extends the lease of its runs. So
the lease is counted from the end of the last epoch in which the endpoint
answered, not from the latest takeover. The store holds this epoch for the
endpoints that left the owner's polls unanswered; for all others it is taken
to be the epoch before the present one.
"""

import collections

import attrs

MAX_ENDS = 100  # of epochs; forgetting the oldest lengthens waits only
MAX_LISTED = 500  # endpoints in the store; the others are waited for longer


@attrs.frozen
class SilentRecord:
    """The endpoints that left polls of their owner unanswered, as stored.

    Parameters
    ----------
    epoch_by_id : dict
        The last epoch in which each may have answered, by endpoint id.
    """

    epoch_by_id: dict[str, int] = attrs.field(factory=dict)


class EpochHistory:
    """When epochs are known to have ended, on the clock of one process."""

    def __init__(self):
        self._owner_epoch = 0
        self._ends = collections.deque(maxlen=MAX_ENDS)

    def record_owner(self, epoch, now_ms):
        """Records that an owner of an epoch is seen: earlier ones ended."""
        self._owner_epoch = epoch
        self._record_end(epoch - 1, now_ms)

    def record_no_owner(self, now_ms):
        """Records that the record of the last owner seen was removed."""
        self._record_end(self._owner_epoch, now_ms)

    def ended_ms(self, epoch):
        """Returns a time at which an epoch had ended; None if unknown."""
        times = (ms for ended, ms in self._ends if ended >= epoch)
        return min(times, default=None)

    def _record_end(self, epoch, now_ms):
        if epoch > 0 and self.ended_ms(epoch) is None:
            self._ends.append((epoch, now_ms))


class InheritedLeases:
    """The leases of the endpoints on which earlier owners left runs.

    Parameters
    ----------
    epoch : int
        Of the present owner.
    lease_ms : int
        How long runs may go on after the end of the epoch that last extended
        their lease.
    history : EpochHistory
    record : SilentRecord
        As an earlier owner stored it.

    Notes
    -----
    No order may extend the lease of an endpoint that the store may list, as
    a later owner would not wait for it: see `may_extend`.
    """

    def __init__(self, *, epoch, lease_ms, history, record):
        self._epoch = epoch
        self._lease_ms = lease_ms
        self._history = history
        self._epoch_by_id = record.epoch_by_id
        self._listed_ids = set(record.epoch_by_id)
        self._unanswered_by_id = {}
        self._silent_ids = set()
        self._ids_of_writes = collections.deque()  # that are not reported
        self._changed = False

    def inherit(self, endpoint_id, now_ms):
        """Returns until when runs of earlier owners may go on there."""
        last_epoch = self._epoch_by_id.get(endpoint_id, self._epoch - 1)
        self._unanswered_by_id[endpoint_id] = last_epoch
        ended_ms = self._history.ended_ms(last_epoch)
        if ended_ms is None:
            ended_ms = now_ms
        return ended_ms + self._lease_ms

    def may_extend(self, endpoint_id):
        """Whether orders may extend the lease of an endpoint's runs."""
        return endpoint_id not in self._listed_ids

    def record_answer(self, endpoint_id):
        """Records that an endpoint has answered the present owner."""
        self._unanswered_by_id.pop(endpoint_id, None)
        if endpoint_id in self._listed_ids:
            self._changed = True

    def record_silence(self, endpoint_id):
        """Records that an endpoint has left a poll unanswered."""
        if endpoint_id in self._unanswered_by_id:
            self._silent_ids.add(endpoint_id)
            self._changed |= endpoint_id not in self._listed_ids

    def pop_record(self):
        """Returns the `SilentRecord` to store; None if it is unchanged."""
        if not self._changed:
            return None
        self._changed = False
        # Others may be about to answer, and would be barred until the next
        # record is stored.
        to_list = self._silent_ids | self._listed_ids
        rows = [
            (endpoint_id, epoch)
            for endpoint_id, epoch in self._unanswered_by_id.items()
            if endpoint_id in to_list
        ]
        record = SilentRecord(dict(rows[:MAX_LISTED]))
        self._ids_of_writes.append(set(record.epoch_by_id))
        self._listed_ids |= self._ids_of_writes[-1]
        return record

    def record_stored(self):
        """Records that the oldest record not reported yet was stored.

        Later ones may have been popped before this is known, and may be in
        the store or not.
        """
        stored_ids = self._ids_of_writes.popleft()
        self._listed_ids = stored_ids.union(*self._ids_of_writes)
