"""Shares of the room of each service among the client accounts.

Answers a load in which the tasks of one account fill a service and others
wait: an account is within its share while its runs take less of the scarcest
resource than its weight's part of the service. An account alone may use all.

The accounting is that of `queueing.FairShareQueue`, one for each service:
dominant shares by weight among the accounts with runs or waiting tasks.
"""

import attrs

from samphiregate.core.cells import _work
from samphiregate.core import model
from samphiregate.core import queueing

# The work classes of queue items make no difference here.
WORK_CLASS = model.WorkClass.BATCH


@attrs.define
class _Room:
    """Room of one service, changed in place."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def add(self, resources, factor=1):
        """Adds `factor` times `resources`."""
        self.cpu_millis += factor * resources.cpu_millis
        self.memory_mb += factor * resources.memory_mb
        self.gpus += factor * resources.gpus

    def has_for(self, needed):
        """Whether all that is needed fits."""
        return (
            needed.cpu_millis <= self.cpu_millis
            and needed.memory_mb <= self.memory_mb
            and needed.gpus <= self.gpus
        )


class FairShares:
    """Tells which accounts take more than their share of a service's room.

    Shares are fractions of the service's capacity in the resource of which
    an account takes most. They are counted anew by each owner, from the
    runs that it restores.

    Notes
    -----
    It is an `UnplacedPolicy`: a service is short of room while the last plan
    left tasks for want of it, or more waits than is free.
    """

    def __init__(self):
        self._queue_by_service = {}
        self._weight_by_account = {}
        self._capacity_by_service = {}
        self._free_by_service = {}
        self._waiting_by_service = {}
        self._unplaced_services = frozenset()

    # What changes

    def set_accounts(self, accounts, now_ms):
        """Sets the weights from the accounts of a configuration."""
        self._weight_by_account = {one.name: one.weight for one in accounts}
        event = queueing.WeightsChanged(self._weight_by_account)
        for queue in self._queue_by_service.values():
            queue.observe(event, now_ms)

    def count_room(self, endpoints, now_ms):
        """Counts capacity and free room of the services, and corrects both.

        Parameters
        ----------
        endpoints : iterable of Endpoint
        now_ms : int
        """
        capacity_by_service = {}
        free_by_service = {}
        for endpoint in endpoints:
            registration = endpoint.registration
            if not endpoint.registered or registration.draining:
                continue
            service = registration.service
            if service not in free_by_service:
                capacity_by_service[service] = _Room()
                free_by_service[service] = _Room()
            capacity_by_service[service].add(registration.capacity)
            free_by_service[service].add(endpoint.free)
        self._free_by_service = free_by_service
        for service, capacity in capacity_by_service.items():
            if capacity != self._capacity_by_service.get(service):
                total = _as_model(capacity)
                event = queueing.CapacityChanged(total)
                self._find_queue(service).observe(event, now_ms)
        self._capacity_by_service = capacity_by_service

    def add_run(self, booking, now_ms):
        """Counts the room of a run that may exist from now on."""
        self._count_run(booking, queueing.ItemStarted, now_ms)
        free = self._free_by_service.get(_service_of(booking))
        if free is not None:
            free.add(booking.step.booked, -1)

    def remove_run(self, booking, now_ms):
        """Counts the room of a run that is known not to exist any more."""
        self._count_run(booking, queueing.ItemEnded, now_ms)
        free = self._free_by_service.get(_service_of(booking))
        if free is not None:
            free.add(booking.step.booked)

    def _count_run(self, booking, event_class, now_ms):
        stage = booking.task.stage
        event = event_class(
            stage.entry.job.account,
            _as_model(booking.step.booked),
            WORK_CLASS,
            urgent=stage.queue.is_urgent,
        )
        self._find_queue(stage.queue.service).observe(event, now_ms)

    def set_waiting(self, needed_by_account_by_service, now_ms):
        """Sets what waits, before a plan.

        Parameters
        ----------
        needed_by_account_by_service : dict
            `Resources` of the waiting tasks, by service and account.
        now_ms : int
        """
        services = {*self._waiting_by_service, *needed_by_account_by_service}
        for service in services:
            before = self._waiting_by_service.get(service, {})
            waiting = needed_by_account_by_service.get(service, {})
            queue = self._find_queue(service)
            for account in before.keys() - waiting.keys():
                queue.observe(queueing.ItemRemoved(account), now_ms)
            for account in waiting.keys() - before.keys():
                item = queueing.QueuedItem(
                    account, account, WORK_CLASS, model.Resources()
                )
                queue.observe(queueing.ItemQueued(item), now_ms)
        self._waiting_by_service = needed_by_account_by_service

    def handle_unplaced(self, requests, now_ms):
        """Notes the services without room; see `UnplacedPolicy`."""
        del now_ms
        self._unplaced_services = frozenset(
            request.stage.queue.service
            for request in requests
            if request.stage.waits_for.is_lack_of_room
        )

    def _find_queue(self, service):
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = queueing.FairShareQueue()
            queue.observe(queueing.WeightsChanged(self._weight_by_account), 0)
            self._queue_by_service[service] = queue
        return queue

    # What is asked

    def is_short(self, service):
        """Whether more waits in a service than it has room for."""
        waiting = self._waiting_by_service.get(service)
        if not waiting:
            return False
        if service in self._unplaced_services:
            return True
        free = self._free_by_service.get(service)
        if free is None:
            return False
        needed = sum(waiting.values(), _work.ZERO_RESOURCES)
        return not free.has_for(needed)

    def share(self, service, account, *, urgent=False):
        """Returns the part of a service that an account's runs take.

        Parameters
        ----------
        service, account : str
        urgent : bool
            Whether only runs of urgent jobs count.

        Returns
        -------
        float
            Of the resource of which they take most, between 0 and 1.
        """
        queue = self._find_queue(service)
        if urgent:
            return queue.urgent_share(account)
        return queue.share(account)

    def share_of(self, service, resources):
        """Returns the part of a service that an amount of resources is."""
        capacity = self._capacity_by_service.get(service)
        return resources.dominant_share(capacity) if capacity else 0.0

    def entitlement(self, service, account):
        """Returns the part of a service that an account may take first.

        That is its weight as a part of the weights of all accounts with runs
        or waiting tasks there; 0 if it has neither.
        """
        return self._find_queue(service).weight_share(account)

    def surplus(self, service, account):
        """Returns how much more an account takes than its share of the use.

        Parameters
        ----------
        service, account : str

        Returns
        -------
        float
            Part of the service, in the resource of which it takes most;
            negative below its share.
        """
        queue = self._find_queue(service)
        return queue.share(account) - queue.fair_share(account)

    def describe(self):
        """Returns share, entitlement and surplus by service and account."""
        return {
            service: {
                account: {
                    "share": round(self.share(service, account), 3),
                    "entitled": round(self.entitlement(service, account), 3),
                    "surplus": round(self.surplus(service, account), 3),
                }
                for account, row in queue.describe()["teams"].items()
                if row["share"] or row["queued"]
            }
            for service, queue in self._queue_by_service.items()
        }


def _service_of(booking):
    return booking.task.stage.queue.service


def _as_model(room):
    return model.Resources(room.cpu_millis, room.memory_mb, room.gpus)
