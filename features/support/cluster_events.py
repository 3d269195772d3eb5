"""Events of a virtual cluster, by the names that scenarios use."""


def _cut(both):
    def event(cluster, vm_id, others):
        cluster.network.cut([vm_id], others, both)

    return event


def _crash(cluster, vm_id, others):
    cluster.crash(cluster.nodes_by_id[vm_id])


def _pause(duration_ms):
    def event(cluster, vm_id, others):
        cluster.pause(cluster.nodes_by_id[vm_id], duration_ms)

    return event


def _drain(cluster, vm_id, others):
    cluster.drain(cluster.nodes_by_id[vm_id])


def _isolate(cluster, vm_id, others):
    everyone = [each for each in cluster.nodes_by_id if each != vm_id]
    cluster.network.cut([vm_id], everyone)
    cluster.cut_from_platform.add(vm_id)


def _cut_centre(cluster, vm_id, others):
    centre = cluster.nodes_by_id[vm_id].data_centre
    inside = [node.vm_id for node in cluster.nodes(centre)]
    outside = [each for each in cluster.nodes_by_id if each not in inside]
    cluster.network.cut(inside, outside)


def _heal(cluster, vm_id, others):
    cluster.network.heal()
    cluster.cut_from_platform.clear()
    cluster.store.faults.down = False
    cluster.store.faults.answers_lost = False


def _store_down(cluster, vm_id, others):
    cluster.store.faults.down = True


def _answers_lost(cluster, vm_id, others):
    cluster.store.faults.answers_lost = True


EVENTS_BY_NAME = {
    "crash": _crash,
    "short pause": _pause(1_500),
    "long pause": _pause(5_000),
    "drain": _drain,
    "link cut": _cut(True),
    "link cut one way": _cut(False),
    "isolation": _isolate,
    "data centre cut": _cut_centre,
    "healing": _heal,
    "store outage": _store_down,
    "lost store answers": _answers_lost,
}


def apply_events(cluster, names, vm_id, others=()):
    """Applies events, separated by ``+``, one after the other.

    Parameters
    ----------
    cluster : Cluster
        Cluster in which they happen.
    names : str
        Names of `EVENTS_BY_NAME`.
    vm_id : str
        VM to which they happen.
    others : sequence of str
        VMs at the other ends of its links, for events that cut links.
    """
    for name in names.split("+"):
        EVENTS_BY_NAME[name.strip()](cluster, vm_id, others)
