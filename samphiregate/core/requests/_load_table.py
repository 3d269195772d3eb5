"""Loads of the owners of runners, as an edge received them."""

import attrs

from samphiregate.core.requests import _load
from samphiregate.core import routing


@attrs.define
class _ReceivedLoad:
    """The newest load of one entry VM, and when that VM last sent it."""

    load: _load.VmLoad
    confirmed_ms: int
    sent_by_service: dict = attrs.field(factory=dict)


class LoadTable:
    """Loads by entry VM, and the choice of an owner for a request.

    Parameters
    ----------
    data_centre : str
        Data centre whose owners are preferred.
    make_router : callable
        Returns a new routing policy.
    valid_ms : int
        Age at which a load expires.
    """

    def __init__(self, *, data_centre, make_router, valid_ms):
        self.data_centre = data_centre
        self.valid_ms = valid_ms
        self.received_by_vm = {}
        self._make_router = make_router
        self._routers_by_key = {}

    def update(self, load, now_ms):
        """Applies a load unless it has expired or a newer one is known."""
        confirmed_ms = now_ms - load.age_ms
        if load.age_ms >= self.valid_ms:
            return
        current = self.received_by_vm.get(load.vm_id)
        if current is None:
            self.received_by_vm[load.vm_id] = _ReceivedLoad(load, confirmed_ms)
        elif load.sequence < current.load.sequence:
            return
        elif load.sequence == current.load.sequence:
            # Sent again unchanged: the load stays valid.
            current.confirmed_ms = max(current.confirmed_ms, confirmed_ms)
            return
        else:
            self._remove_from_routers(current.load, now_ms, newer_load=load)
            self.received_by_vm[load.vm_id] = _ReceivedLoad(load, confirmed_ms)
        for service_load in load.services:
            self._update_router(load.vm_id, service_load, now_ms)

    def remove_vm(self, vm_id, now_ms):
        """Removes the load of an entry VM, so that it isn't chosen."""
        received = self.received_by_vm.pop(vm_id, None)
        if received is not None:
            self._remove_from_routers(received.load, now_ms)

    def remove_expired(self, now_ms):
        """Removes the loads that have expired."""
        old = [
            vm_id
            for vm_id, received in self.received_by_vm.items()
            if now_ms - received.confirmed_ms >= self.valid_ms
        ]
        for vm_id in old:
            self.remove_vm(vm_id, now_ms)

    def pick(self, service, excluded, now_ms):
        """Returns the entry VM for a request, or None.

        Prefers free slots in this data centre, then free slots elsewhere,
        then the shortest queue in this data centre, then elsewhere.
        """
        for only_free in (True, False):
            question = routing.PickEndpoint(excluded, only_free)
            for local in (True, False):
                router = self._routers_by_key.get((service, local))
                chosen = router and router.choose(question, now_ms)
                if chosen:
                    return chosen
        return None

    def record_sent(self, vm_id, service, now_ms, count=1):
        """Counts requests that were sent since the load was received."""
        received = self.received_by_vm.get(vm_id)
        if received is None:
            return
        before = received.sent_by_service.get(service, 0)
        received.sent_by_service[service] = max(before + count, 0)
        for service_load in received.load.services:
            if service_load.service == service:
                self._update_router(vm_id, service_load, now_ms)

    def update_service(self, vm_id, service_load, now_ms):
        """Applies the load that came with the end of an attempt."""
        received = self.received_by_vm.get(vm_id)
        if received is None:
            return
        others = (
            other
            for other in received.load.services
            if other.service != service_load.service
        )
        received.load = attrs.evolve(
            received.load, services=(*others, service_load)
        )
        received.sent_by_service[service_load.service] = 0
        self._update_router(vm_id, service_load, now_ms)

    def mark_full(self, vm_id, service, now_ms):
        """Counts all slots as used after a refusal, until the next load."""
        received = self.received_by_vm.get(vm_id)
        if received is None:
            return
        for service_load in received.load.services:
            if service_load.service == service:
                self.record_sent(vm_id, service, now_ms, service_load.slots)

    def sample(self, vm_id, count, random_state, now_ms):
        """Returns a random sample of the loads, with their ages.

        Parameters
        ----------
        vm_id : str
            Entry VM whose load is left out.
        count : int
            Maximum number of loads.
        """
        received = [
            item
            for item in self.received_by_vm.values()
            if item.load.vm_id != vm_id
        ]
        if len(received) > count:
            received = random_state.sample(received, count)
        return tuple(
            attrs.evolve(item.load, age_ms=now_ms - item.confirmed_ms)
            for item in received
        )

    def _router(self, service, local):
        key = (service, local)
        if key not in self._routers_by_key:
            self._routers_by_key[key] = self._make_router()
        return self._routers_by_key[key]

    def _update_router(self, vm_id, service_load, now_ms):
        received = self.received_by_vm[vm_id]
        sent = received.sent_by_service.get(service_load.service, 0)
        used = service_load.running + service_load.queued + sent
        event = routing.EndpointChanged(
            endpoint_id=vm_id,
            free=max(service_load.slots - used, 0),
            load=used / max(service_load.slots, 1),
            latency_ms=service_load.latency_ms,
        )
        local = received.load.data_centre == self.data_centre
        self._router(service_load.service, local).observe(event, now_ms)

    def _remove_from_routers(self, load, now_ms, newer_load=None):
        """Removes an entry VM from the routers of its former services."""
        remaining = (
            {service_load.service for service_load in newer_load.services}
            if newer_load
            else ()
        )
        local = load.data_centre == self.data_centre
        for service_load in load.services:
            if service_load.service not in remaining:
                self._router(service_load.service, local).observe(
                    routing.EndpointRemoved(load.vm_id), now_ms
                )
