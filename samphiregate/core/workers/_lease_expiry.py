"""Detects expired leases on unreachable workers."""

import attrs

from samphiregate.core.workers import _records


@attrs.frozen
class Release:
    """Statement of an earlier owner that it renews no more leases."""

    vm_id: str
    epoch: int
    released_ms: int


class LeaseExpiryMonitor:
    """Ends the attempts on workers that were unreachable for too long.

    Parameters
    ----------
    ledger : Ledger
        Owned workers.
    exchanges : Exchanges
        Computes when leases granted by this entry VM have expired.
    lease_with_margin_ms : int
        Duration of a lease plus its margin.

    Attributes
    ----------
    listed_vms : frozenset of str or None
        Entry VMs in the platform's list; None before the list is read.
    """

    def __init__(self, *, ledger, exchanges, lease_with_margin_ms):
        self._ledger = ledger
        self._exchanges = exchanges
        self._lease_with_margin_ms = lease_with_margin_ms
        self.listed_vms = None
        self._releases_by_shard = {}
        self._delisted_ms_by_id = {}

    def on_release(self, shard, epoch, sender, now_ms):
        """Records a `WorkersReleased` message."""
        self._releases_by_shard[shard] = Release(sender, epoch, now_ms)

    def check(self, record, now_ms):
        """Ends the attempts on a worker if its leases have expired.

        Removes the worker if it is also missing from the platform's list.
        """
        if record.phase is not _records.WorkerPhase.INVENTORY:
            return
        if record.in_flight is not None:
            return
        expiry_ms = self._exchanges.lease_expiry_ms(record)
        if not record.inventory_complete:
            expiry_ms = self._inherited_expiry_ms(record, now_ms)
        if expiry_ms is not None and now_ms >= expiry_ms:
            self._exchanges.end_expired(record, now_ms)
        if (
            record.inventory_complete
            and not record.listed
            and record.renewed_ms is None
        ):
            self._ledger.drop_worker(record.info.worker_id, now_ms)

    def _inherited_expiry_ms(self, record, now_ms):
        """Returns when leases of the previous owner have expired, or None.

        None means that the previous owner may still renew leases.
        """
        released_ms = self._released_ms(record, now_ms)
        if released_ms is None:
            return None
        return released_ms + self._lease_with_margin_ms

    def _released_ms(self, record, now_ms):
        release = self._releases_by_shard.get(record.shard)
        if release is not None:
            previous_tenure = (record.previous_owner, record.epoch - 1)
            if (release.vm_id, release.epoch) == previous_tenure:
                return release.released_ms
        # Without a release by the previous owner, the time counts from when
        # the worker, or else that owner, was first found missing from the
        # platform's list.
        delisted_id = record.previous_owner
        if not record.listed:
            delisted_id = record.info.worker_id
        elif self.listed_vms is None or delisted_id in self.listed_vms:
            return None
        return self._delisted_ms_by_id.setdefault(delisted_id, now_ms)
