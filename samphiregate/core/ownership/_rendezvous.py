"""Assignment of shards to the present VMs by rendezvous hashing."""

import math

from samphiregate.core import base

# Maximum number of shards of a VM, as a multiple of the mean.
LOAD_BOUND_FACTOR = 1.25
MAX_CACHED_ASSIGNMENTS = 256


class Rendezvous:
    """Rendezvous (highest-random-weight) hashing with bounded loads.

    Parameters
    ----------
    data_centre : str
        The data centre whose shards are assigned.
    shard_count : int
        Number of shards of the data centre.

    Notes
    -----
    The weight of a VM for a shard is its negated hash. A shard goes to the
    first VM by descending weight that has fewer shards than the bound. The
    result depends only on the set of VMs, so that all VMs with the same
    member list compute the same assignment.

    References
    ----------
    D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking, 1998. V. Mirrokni,
    M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded Loads",
    SODA 2018.
    """

    def __init__(self, *, data_centre, shard_count):
        self.data_centre = data_centre
        self.shard_count = shard_count
        self._owners_by_ids = {}

    def sorted_by_weight(self, number, vm_ids):
        """Returns `vm_ids` by descending weight, that is by ascending hash."""
        name = f"/{self.data_centre}/{number}"
        return sorted(vm_ids, key=lambda vm_id: base.stable_hash(vm_id + name))

    def owners(self, vm_ids):
        """Returns the VM to which each shard is assigned, by its number.

        Parameters
        ----------
        vm_ids : tuple of str
            The present (alive or suspect) VMs, sorted.

        Returns
        -------
        tuple of str
            Empty if there are no VMs.
        """
        if not vm_ids:
            return ()
        owners = self._owners_by_ids.get(vm_ids)
        if owners is None:
            owners = self._assign(vm_ids)
            if len(self._owners_by_ids) >= MAX_CACHED_ASSIGNMENTS:
                self._owners_by_ids.clear()
            self._owners_by_ids[vm_ids] = owners
        return owners

    def candidates(self, number, vm_ids):
        """Returns the VMs in the order in which they would own a shard.

        Each of the first three would own it if those before it ended, with
        the load bound observed. The others are in order of weight.
        """
        remaining = vm_ids
        chosen = []
        while remaining and len(chosen) < 3:
            owner = self.owners(remaining)[number]
            chosen.append(owner)
            remaining = tuple(each for each in remaining if each != owner)
        return (*chosen, *self.sorted_by_weight(number, remaining))

    def _assign(self, vm_ids):
        max_shard_count = math.ceil(
            LOAD_BOUND_FACTOR * self.shard_count / len(vm_ids)
        )
        load_by_vm = dict.fromkeys(vm_ids, 0)
        owners = []
        for number in range(self.shard_count):
            owner = next(
                vm_id
                for vm_id in self.sorted_by_weight(number, vm_ids)
                if load_by_vm[vm_id] < max_shard_count
            )
            load_by_vm[owner] += 1
            owners.append(owner)
        return tuple(owners)
