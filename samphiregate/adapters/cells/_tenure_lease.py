"""What the VM's lease permits the owner of a cell to do."""

# Polls and stops continue for this long after the VM's lease has lapsed.
LAPSED_LEASE_GRACE_MS = 2_000


class TenureLease:
    """Compares the VM's lease with the one that a tenure was taken under.

    Parameters
    ----------
    tenure : Tenure
    lease : LeaseRenewer
    session_end : gevent.event.Event
    now_ms : callable
    """

    def __init__(self, *, tenure, lease, session_end, now_ms):
        self._tenure = tenure
        self._lease = lease
        self._session_end = session_end
        self._now_ms = now_ms

    @property
    def has_ended(self):
        """Whether the store has ended the lease of the tenure."""
        return self._lease.lease_id != self._tenure.lease_id

    @property
    def is_valid(self):
        """Whether no other VM can own the cell: tasks may be started."""
        return self._is_open and self._lease.is_valid

    @property
    def is_valid_or_in_grace(self):
        """Whether endpoints may be polled and tasks stopped."""
        return (
            self._is_open
            and self._now_ms()
            < self._lease.valid_until_ms + LAPSED_LEASE_GRACE_MS
        )

    @property
    def _is_open(self):
        return not self._session_end.is_set() and not self.has_ended
