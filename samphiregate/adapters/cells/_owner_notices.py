"""Tells a cell's owner of jobs, cancellations and drains at once.

The owner also learns of them from its watch of the store. That can be silent
for seconds, and notices are not repeated, so neither replaces the other.
"""

from gevent import pool

from samphiregate.core import cells
from samphiregate import errors

MAX_IN_FLIGHT = 64  # further notices are dropped
TIMEOUT_MS = 1_000


class OwnerNotices:
    """Sends notices to the owner, and takes them if this VM is the owner.

    Parameters
    ----------
    cell : str
    peers : PeerCalls
    owner_address : callable
        Returns the peer address of the cell's owner, or None.
    deliver : callable
        Takes an event for the cell; returns whether this VM owns and serves
        it. An owner that is still loading must not take notices, as it has
        not read the records of the jobs.
    log : DecisionLog
    """

    def __init__(self, *, cell, peers, owner_address, deliver, log):
        self._cell = cell
        self._peers = peers
        self._owner_address = owner_address
        self._deliver = deliver
        self._log = log
        self._pool = pool.Pool(MAX_IN_FLIGHT)

    def tell_stored(self, job):
        """Tells the owner, in the background, of a job just accepted.

        Only the VM whose write created the job tells of it: a job that was
        there before may have a record.
        """
        if not self._deliver(cells.JobStored(job)):
            self._send(cells.JobWasStored(self._cell, cells.encode(job)))

    def tell_cancelled(self, job_id):
        """Tells the owner, in the background, of a stored cancellation."""
        if not self._deliver(cells.JobCancelled(job_id)):
            self._send(cells.JobWasCancelled(self._cell, job_id))

    def tell(self, message):
        """Sends a notice to the owner in the background."""
        self._send(message)

    def answer_stored(self, message):
        """Answers `JobWasStored`."""
        return self._take(
            cells.JobStored(cells.decode(message.job, cells.Job))
        )

    def answer_cancelled(self, message):
        """Answers `JobWasCancelled`."""
        return self._take(cells.JobCancelled(message.job_id))

    def join(self, timeout_s):
        """Waits until no notice is in flight; returns whether none is."""
        return self._pool.join(timeout_s)

    def _take(self, event):
        if self._deliver(event):
            return cells.NoticeTaken()
        return cells.NotMine("this VM does not own the cell")

    def _send(self, message):
        address = self._owner_address()
        if address is None:
            return
        if self._pool.full():
            self._log.write("owner not told", owner=address, reason="busy")
            return
        self._pool.spawn(self._call, address, message)

    def _call(self, address, message):
        try:
            self._peers.call(address, message, TIMEOUT_MS)
        except errors.SamphiregateError as error:
            self._log.write(
                "owner not told", owner=address, reason=error.detail
            )
