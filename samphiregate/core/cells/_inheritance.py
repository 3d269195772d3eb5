"""Until when the runs of earlier owners may go on at a silent endpoint.

Only an owner that an endpoint has answered extends the lease of its runs. So
the lease is counted from the end of the last epoch in which the endpoint
answered, not from the latest takeover. The store holds this epoch for the
endpoints that left the owner's polls unanswered; for all others it is taken
to be the epoch before the present one.

No owner extends the lease of an endpoint that the store lists. So a VM that
has seen the list counts the lease from then if that is earlier, but not from
before the end of the epochs whose owners may not know the list.
"""

import collections

import attrs

MAX_ENDS = 100  # of epochs; forgetting the oldest lengthens waits only
MAX_LISTED = 500  # endpoints in the store; the others are waited for longer


@attrs.frozen
class Listing:
    """One time for which an endpoint is listed as silent.

    Parameters
    ----------
    epoch : int
        Of the owner that listed it.
    number : int
        Rises with each listing of that owner.
    """

    epoch: int
    number: int


@attrs.frozen
class SilentRecord:
    """The endpoints that left polls of their owner unanswered, as stored.

    Parameters
    ----------
    epoch_by_id : dict
        The last epoch in which each may have answered, by endpoint id.
    listing_by_id : dict
        The `Listing` of each, by endpoint id; a record of an earlier build
        has none.
    """

    epoch_by_id: dict[str, int] = attrs.field(factory=dict)
    listing_by_id: dict[str, Listing] = attrs.field(factory=dict)


class EpochHistory:
    """When epochs ended and endpoints were listed, on one process's clock."""

    def __init__(self):
        self._owner_epoch = 0
        self._ends = collections.deque(maxlen=MAX_ENDS)
        self._listed_ms_by_listing = {}

    def record_owner(self, epoch, now_ms, extra_ms=0):
        """Records that an owner of an epoch is seen: earlier ones ended.

        Parameters
        ----------
        epoch : int
        now_ms : int
        extra_ms : int
            How much longer the owner before may act than one whose lease
            has ended, as its ownership was revoked.
        """
        self._owner_epoch = epoch
        if extra_ms:
            self._ends = collections.deque(
                (row for row in self._ends if row[0] != epoch - 1),
                maxlen=MAX_ENDS,
            )
        self._record_end(epoch - 1, now_ms + extra_ms)

    def record_no_owner(self, now_ms):
        """Records that the record of the last owner seen was removed."""
        self._record_end(self._owner_epoch, now_ms)

    def record_list(self, record, now_ms):
        """Records that the store holds a `SilentRecord`."""
        self._listed_ms_by_listing = {
            row: self._listed_ms_by_listing.get(row, now_ms)
            for row in record.listing_by_id.items()
        }

    def listed_ms(self, endpoint_id, listing):
        """Returns a time at which an endpoint was listed; None if unknown."""
        return self._listed_ms_by_listing.get((endpoint_id, listing))

    def ended_ms(self, epoch):
        """Returns a time at which an epoch had ended; None if unknown."""
        for ended, ms in self._ends:
            if ended == epoch:
                return ms
        times = (ms for ended, ms in self._ends if ended > epoch)
        return min(times, default=None)

    def _record_end(self, epoch, now_ms):
        known = any(ended == epoch for ended, _ms in self._ends)
        if epoch > 0 and not known:
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
    extension_ms : int
        How long runs may go on after an order has extended their lease.
    history : EpochHistory
    record : SilentRecord
        As an earlier owner stored it.

    Notes
    -----
    No order may extend the lease of an endpoint that the store may list, as
    a later owner would not wait for it: see `may_extend`.
    """

    def __init__(self, *, epoch, lease_ms, extension_ms, history, record):
        self._epoch = epoch
        self._lease_ms = lease_ms
        self._extension_ms = extension_ms
        self._history = history
        self._epoch_by_id = record.epoch_by_id
        self._listing_by_id = dict(record.listing_by_id)
        self._listing_count = 0
        self._listed_ids = set(record.epoch_by_id)
        self._unanswered_by_id = {}
        self._silent_ids = set()
        self._ids_of_writes = collections.deque()  # that are not reported
        self._changed = False

    def inherit(self, endpoint_id, now_ms):
        """Returns until when runs of earlier owners may go on there."""
        last_epoch = self._epoch_by_id.get(endpoint_id, self._epoch - 1)
        self._unanswered_by_id[endpoint_id] = last_epoch
        until_ms = self._lapsed_ms(last_epoch, now_ms)
        listing = self._listing_by_id.get(endpoint_id)
        listed_ms = self._history.listed_ms(endpoint_id, listing)
        if listed_ms is None or listing.epoch != last_epoch:
            return until_ms
        # The owners before the one that listed it may not have known that.
        earlier_ms = self._lapsed_ms(last_epoch - 1, now_ms)
        return min(until_ms, max(listed_ms + self._extension_ms, earlier_ms))

    def _lapsed_ms(self, epoch, now_ms):
        """Returns when the runs that an epoch extended have ended."""
        if epoch <= 0:
            return 0
        ended_ms = self._history.ended_ms(epoch)
        return (now_ms if ended_ms is None else ended_ms) + self._lease_ms

    def may_extend(self, endpoint_id):
        """Whether orders may extend the lease of an endpoint's runs."""
        return endpoint_id not in self._listed_ids

    def record_answer(self, endpoint_id):
        """Records that an endpoint has answered the present owner."""
        self._unanswered_by_id.pop(endpoint_id, None)
        self._silent_ids.discard(endpoint_id)
        if endpoint_id in self._listed_ids:
            self._changed = True

    def forget(self, endpoint_id):
        """Records that no run can exist any more at an endpoint."""
        self.record_answer(endpoint_id)

    @property
    def unanswered_ids(self):
        """Ids of endpoints with inherited runs that have not answered yet."""
        return list(self._unanswered_by_id)

    def record_silence(self, endpoint_id):
        """Records that an endpoint leaves a poll unanswered."""
        self._unanswered_by_id.setdefault(endpoint_id, self._epoch)
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
        epoch_by_id = dict(rows[:MAX_LISTED])
        self._listing_by_id = {
            endpoint_id: self._listing_by_id.get(endpoint_id)
            or self._new_listing()
            for endpoint_id in epoch_by_id
        }
        self._ids_of_writes.append(set(epoch_by_id))
        self._listed_ids |= self._ids_of_writes[-1]
        return SilentRecord(epoch_by_id, self._listing_by_id)

    def _new_listing(self):
        self._listing_count += 1
        return Listing(self._epoch, self._listing_count)

    def record_stored(self):
        """Records that the oldest record not reported yet was stored.

        Later ones may have been popped before this is known, and may be in
        the store or not.
        """
        stored_ids = self._ids_of_writes.popleft()
        self._listed_ids = stored_ids.union(*self._ids_of_writes)
