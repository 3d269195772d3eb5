"""Queue of the membership updates to piggyback on probes."""

import math

import attrs

RETRANSMIT_FACTOR = 3


@attrs.define
class _Entry:
    update: object
    sent_count: int = 0


class UpdateQueue:
    """Returns each update a bounded number of times, least sent first.

    Parameters
    ----------
    batch_size : int
        Maximum number of updates in one message.
    """

    def __init__(self, *, batch_size):
        self.batch_size = batch_size
        self.entries_by_vm = {}

    def add(self, update):
        """Queues an update in place of an older one about the same VM."""
        self.entries_by_vm[update.vm_id] = _Entry(update)

    def next_batch(self, group_size):
        """Returns the updates for one message.

        Parameters
        ----------
        group_size : int
            Number of VMs of the data centre. An update is returned at most
            `RETRANSMIT_FACTOR` * ceil(log2(`group_size` + 2)) times.

        Returns
        -------
        tuple of Rumour
        """
        max_sent_count = RETRANSMIT_FACTOR * math.ceil(
            math.log2(group_size + 2)
        )
        entries = sorted(
            self.entries_by_vm.values(), key=lambda entry: entry.sent_count
        )[: self.batch_size]
        for entry in entries:
            entry.sent_count += 1
            if entry.sent_count >= max_sent_count:
                del self.entries_by_vm[entry.update.vm_id]
        return tuple(entry.update for entry in entries)
