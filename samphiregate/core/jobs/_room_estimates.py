"""Estimates of the free capacity of each entry VM's workers."""

import attrs

from samphiregate.core import model


@attrs.define
class RoomEstimate:
    """The latest summary of an entry VM, less what was ordered since.

    Parameters
    ----------
    capacity, free : model.Resources
        Total capacity of its workers, and how much of it is free.
    largest : model.Resources
        For each resource, the largest amount free on any one worker.
    leaving : bool
        Whether the entry VM is leaving; it gets no more orders.
    declined : model.Resources or None
        Size of the order that the entry VM last declined since the summary;
        None if none, or if an attempt has ended there since.
    """

    capacity: model.Resources
    free: model.Resources
    largest: model.Resources
    leaving: bool = False
    declined: model.Resources | None = None

    def accepts(self, resources):
        """Returns whether an order of this size may be sent there."""
        if self.leaving or not resources.fits_in(self.largest):
            return False
        if self.declined is not None and self.declined.fits_in(resources):
            return False
        return resources.fits_in(self.free)


class RoomEstimates:
    """Chooses the entry VM that an order is sent to.

    Parameters
    ----------
    vm_id : str
        This entry VM.
    random_state : random.Random
        Draws two candidates, of which the one with more free CPU is chosen.
    """

    def __init__(self, *, vm_id, random_state):
        self._vm_id = vm_id
        self._random = random_state
        self.estimates_by_vm_ = {}
        self._usage_by_vm = {}

    def apply_summary(self, sender, message):
        """Applies a `RoomSummary`."""
        self.estimates_by_vm_[sender] = RoomEstimate(
            message.capacity, message.free, message.largest, message.leaving
        )
        usage = self._usage_by_vm.setdefault(sender, {})
        for one in message.usage:
            usage[one.team] = one.resources

    def remove(self, vm_id):
        """Removes an entry VM that is dead."""
        self.estimates_by_vm_.pop(vm_id, None)
        self._usage_by_vm.pop(vm_id, None)

    def choose(self, resources, excluded=frozenset()):
        """Returns an entry VM with room for an order, or None."""
        fitting = [
            vm_id
            for vm_id, estimate in self.estimates_by_vm_.items()
            if vm_id not in excluded and estimate.accepts(resources)
        ]
        if not fitting:
            return None
        if len(fitting) > 2:
            fitting = self._random.sample(fitting, 2)
        return max(fitting, key=self._free_cpu)

    def are_all_excluded(self, excluded_ids):
        """Returns whether all entry VMs that accept orders are excluded."""
        return all(
            vm_id in excluded_ids
            for vm_id, estimate in self.estimates_by_vm_.items()
            if not estimate.leaving
        )

    def choose_for_preemption(self, resources):
        """Returns an entry VM that is large enough if it preempts, or None."""
        fitting = [
            vm_id
            for vm_id, estimate in self.estimates_by_vm_.items()
            if not estimate.leaving and resources.fits_in(estimate.capacity)
        ]
        return self._random.choice(fitting) if fitting else None

    def sorted_by_free_cpu(self):
        """Returns the entry VMs that accept orders, most free CPU first."""
        vm_ids = [
            vm_id
            for vm_id, estimate in self.estimates_by_vm_.items()
            if not estimate.leaving
        ]
        return sorted(vm_ids, key=self._free_cpu, reverse=True)

    def record_order(self, vm_id, resources):
        """Subtracts an order from the free capacity."""
        estimate = self.estimates_by_vm_.get(vm_id)
        if estimate is not None:
            estimate.free = estimate.free - resources

    def record_end(self, vm_id, resources):
        """Adds the resources of an ended attempt to the free capacity."""
        estimate = self.estimates_by_vm_.get(vm_id)
        if estimate is not None:
            estimate.free = estimate.free + resources
            estimate.largest = _largest(estimate.largest, resources)
            estimate.declined = None

    def record_declined(self, vm_id, resources):
        """Restores the free capacity; bars orders of this size for now."""
        estimate = self.estimates_by_vm_.get(vm_id)
        if estimate is not None:
            estimate.free = estimate.free + resources
            estimate.declined = resources

    def total_capacity(self):
        """Returns the data centre's capacity, as far as it was reported."""
        total = model.Resources()
        for estimate in self.estimates_by_vm_.values():
            total = total + estimate.capacity
        return total

    def usage_by_team(self):
        """Returns the resources that each team uses in the data centre."""
        total_by_team = {}
        for usage in self._usage_by_vm.values():
            for team, amount in usage.items():
                used = total_by_team.get(team, model.Resources())
                total_by_team[team] = used + amount
        return total_by_team

    def _free_cpu(self, vm_id):
        free = self.estimates_by_vm_[vm_id].free
        return (free.cpu_millis, vm_id == self._vm_id)


def _largest(first, second):
    return model.Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mib, second.memory_mib),
        max(first.accelerators, second.accelerators),
    )
