"""The lease of an entry VM; the store removes its keys when it ends."""

import attrs
import gevent
import gevent.event

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate.core import cells
from samphiregate import errors

TTL_MS = 2_000
RENEW_INTERVAL_MS = 500
RETRY_INTERVAL_MS = 200
# The VM treats its lease as ended this long before the store may end it.
EXPIRY_MARGIN_MS = 200
# Without a renewal, until the store counts as lost to this VM.
LOST_AFTER_MS = 900


@attrs.frozen
class VmRecord:
    """The record of an entry VM, which the other entry VMs read.

    Parameters
    ----------
    vm_id, address : str
    capacity : float
        Of its processor, in cores; 0 if unknown.
    """

    vm_id: str
    address: str
    capacity: float = 0.0


class LeaseRenewer:
    """Obtains a lease and renews it; a context manager.

    Parameters
    ----------
    store : Store
    record : VmRecord
        Stored under the lease, so that other VMs find this one.
    on_renewal : callable
        Takes whether the lease was granted or renewed, after each call; not
        called when the lease has ended.
    now_ms : callable
    log : DecisionLog

    Attributes
    ----------
    lease_id : int
        0 while none is held.
    valid_until_ms : int
        Local time until which the lease is known to be valid.
    """

    def __init__(self, *, store, record, on_renewal, now_ms, log):
        self.lease_id = 0
        self.valid_until_ms = 0
        self._store = store
        self._record = record
        self._on_renewal = on_renewal
        self._now_ms = now_ms
        self._log = log
        self._greenlet = None
        self._last_failed = False

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()
        ended, self.lease_id = self.lease_id, 0
        if ended:
            try:
                self._store.end_lease(ended)
            except errors.SamphiregateError as error:
                self._log.write("lease not ended", reason=error.detail)

    @property
    def is_valid(self):
        """Whether the lease is known to be valid."""
        return self.lease_id != 0 and self._now_ms() < self.valid_until_ms

    @property
    def is_renewed(self):
        """Whether the lease is valid and the last renewal succeeded."""
        return self.is_valid and not self._last_failed

    @property
    def is_lost(self):
        """Whether renewals of a valid lease have failed for a while."""
        renewed_ms = self.valid_until_ms - TTL_MS + EXPIRY_MARGIN_MS
        return (
            self.is_valid
            and self._last_failed
            and self._now_ms() - renewed_ms >= LOST_AFTER_MS
        )

    def _run(self):
        while True:
            pause_ms = RENEW_INTERVAL_MS
            try:
                if self.lease_id:
                    self._renew()
                else:
                    self._grant()
                self._last_failed = False
                self._on_renewal(True)
            except _ports.LeaseEndedError:
                self._log.write("lease ended", lease=self.lease_id)
                self.lease_id = 0
                self.valid_until_ms = 0
                pause_ms = 0
            except errors.SamphiregateError as error:
                self._log.write(
                    "lease not renewed",
                    lease=self.lease_id,
                    left_ms=self.valid_until_ms - self._now_ms(),
                    reason=error.detail,
                )
                self._last_failed = True
                self._on_renewal(False)
                pause_ms = RETRY_INTERVAL_MS
            gevent.sleep(pause_ms / 1000)

    def _renew(self):
        sent_ms = self._now_ms()
        self._store.renew_lease(self.lease_id)
        self.valid_until_ms = sent_ms + TTL_MS - EXPIRY_MARGIN_MS

    def _grant(self):
        sent_ms = self._now_ms()
        lease_id, ttl_ms = self._store.grant_lease(TTL_MS)
        write = _ports.StoreWrite(
            _keys.vm(self._record.vm_id), cells.encode(self._record), lease_id
        )
        self._store.commit(expected={}, writes=[write])
        self.lease_id = lease_id
        self.valid_until_ms = sent_ms + min(ttl_ms, TTL_MS) - EXPIRY_MARGIN_MS
        self._log.write("lease granted", lease=lease_id, ttl_ms=ttl_ms)
