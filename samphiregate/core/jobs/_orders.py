"""Orders to owners of workers, batched by recipient."""

from samphiregate.core import base
from samphiregate.core import workers


class OrderBatcher:
    """Batches the orders to each owner of workers, in one sequence."""

    def __init__(self):
        self._sequence_by_vm = {}
        self._runs_by_vm = {}
        self._stops_by_vm = {}
        self._acks_by_vm = {}

    def add_run(self, vm_id, order):
        """Adds an order to run an attempt; it is never sent twice."""
        self._runs_by_vm.setdefault(vm_id, []).append(order)

    def add_stop(self, vm_id, stop):
        """Adds an order to stop an attempt."""
        self._stops_by_vm.setdefault(vm_id, []).append(stop)

    def add_acknowledgement(self, vm_id, attempt_id):
        """Adds an acknowledgement of an attempt's end."""
        self._acks_by_vm.setdefault(vm_id, []).append(attempt_id)

    def next_sequence(self, vm_id):
        """Returns the sequence number of the next message to an entry VM."""
        sequence = self._sequence_by_vm.get(vm_id, 0) + 1
        self._sequence_by_vm[vm_id] = sequence
        return sequence

    def flush(self):
        """Returns and clears the batches, as actions."""
        runs, self._runs_by_vm = self._runs_by_vm, {}
        stops, self._stops_by_vm = self._stops_by_vm, {}
        acks, self._acks_by_vm = self._acks_by_vm, {}
        actions = []
        for vm_id in sorted(runs.keys() | stops.keys() | acks.keys()):
            message = workers.TaskOrders(
                self.next_sequence(vm_id),
                runs=tuple(runs.get(vm_id, ())),
                stops=tuple(stops.get(vm_id, ())),
                kept=tuple(acks.get(vm_id, ())),
            )
            actions.append(base.SendToPeer(vm_id, message))
        return actions
