"""Updates for the owners of jobs, batched by recipient."""

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.workers import _peer


@attrs.frozen
class JobShardOwner:
    """The highest known epoch of a job shard and its owner."""

    epoch: int
    vm_id: str


NO_OWNER = JobShardOwner(0, "")


class Outbox:
    """Queues messages and actions; batches updates for each job owner.

    Parameters
    ----------
    ownership : object
        Has `entry_of(shard)`.
    data_centre : str
        Data centre of the jobs.
    shard_count : int
        Number of shards of each data centre.
    """

    def __init__(self, *, ownership, data_centre, shard_count):
        self._ownership = ownership
        self._data_centre = data_centre
        self._shard_count = shard_count
        self._admitted_owner_by_shard = {}
        self._updates_by_vm = {}
        self._actions = []

    def shard_of(self, job_id):
        """Returns the shard of a job."""
        return model.shard_of(job_id, self._data_centre, self._shard_count)

    def owner_of(self, shard):
        """Returns the `JobShardOwner` with the highest known epoch."""
        admitted = self._admitted_owner_by_shard.get(shard, NO_OWNER)
        entry = self._ownership.entry_of(shard)
        if entry is not None and entry.epoch > admitted.epoch:
            return JobShardOwner(entry.epoch, entry.owner)
        return admitted

    def admit(self, shard, epoch, sender):
        """Admits the owner of a job shard; returns whether it did.

        It refuses if a higher epoch of the shard is known. Otherwise lower
        epochs are refused from then on, and updates go to `sender` until a
        higher epoch is known.
        """
        current = self.owner_of(shard)
        if epoch < current.epoch:
            return False
        self._admitted_owner_by_shard[shard] = JobShardOwner(epoch, sender)
        return True

    def send_update(self, update):
        """Queues an update for the owner of its job, if that is known."""
        owner = self.owner_of(self.shard_of(update.task_id.job_id)).vm_id
        if owner:
            self.send_update_to(owner, update)

    def send_update_to(self, vm_id, update):
        """Queues an update for one entry VM."""
        self._updates_by_vm.setdefault(vm_id, []).append(update)

    def send(self, vm_id, message):
        """Queues any other message for one entry VM."""
        self._actions.append(base.SendToPeer(vm_id, message))

    def add_action(self, action):
        """Queues an action."""
        self._actions.append(action)

    def flush(self):
        """Removes and returns everything queued, as actions."""
        actions, self._actions = self._actions, []
        batches, self._updates_by_vm = self._updates_by_vm, {}
        for vm_id, updates in batches.items():
            message = _peer.TaskNewsBatch(tuple(updates))
            actions.append(base.SendToPeer(vm_id, message))
        return actions
