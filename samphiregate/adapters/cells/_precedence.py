"""Which VMs are to acquire a cell first, and which monitor its owner.

The owner of a cell decides for all of its endpoints and jobs, so that a VM
with little processor capacity is a worse owner than one with more.
"""

import zlib

MONITOR_COUNT = 4  # of each owner
WEAK_FACTOR = 1.5  # by which another VM is to be stronger
MAX_YIELD_MS = 90  # of a VM with next to no capacity


def yield_ms(*, capacity, other_capacities):
    """Returns for how long a VM yields before it acquires a cell.

    Parameters
    ----------
    capacity : float
        Processor capacity of the VM, in cores; 0 if unknown.
    other_capacities : iterable of float
        Of the other VMs with a lease.

    Returns
    -------
    float
        Milliseconds, in proportion to what the VM lacks of the strongest
        one; 0 for the strongest and for a VM of unknown capacity.
    """
    strongest = max(other_capacities, default=0)
    if capacity <= 0 or capacity >= strongest:
        return 0
    return MAX_YIELD_MS * (1 - capacity / strongest)


def is_weak(*, capacity, other_capacities):
    """Whether a VM is to leave a cell to one with much more capacity.

    Parameters
    ----------
    capacity : float
        Processor capacity of the VM, in cores; 0 if unknown.
    other_capacities : iterable of float
        Of the other VMs with a lease.
    """
    strongest = max(other_capacities, default=0)
    return 0 < capacity * WEAK_FACTOR < strongest


def monitor_ids(records, epoch):
    """Returns the ids of the VMs that monitor an owner.

    These are some of the strongest, as they may acquire the cell first. Each
    owner has others, so that no VM monitors all.

    Parameters
    ----------
    records : iterable of VmRecord
        Of the VMs with a lease but the owner.
    epoch : int
        Of the owner.

    Returns
    -------
    list of str
    """

    def rank(record):
        spread = zlib.crc32(f"{record.vm_id}/{epoch}".encode())
        return (-record.capacity, spread)

    ranked = sorted(records, key=rank)
    return [record.vm_id for record in ranked[:MONITOR_COUNT]]
