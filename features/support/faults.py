"""Faults and steps of the fault matrix, applied to a virtual cluster."""

from features.support import virtual_network
from features.support import virtual_store

REPLACED_AFTER_MS = 5_000
ISOLATED_MS = 25_000
LOWERED_MS = 32_000


class FaultContext:
    """Cluster of one case of the matrix, and the duration of its faults.

    Parameters
    ----------
    cluster : Cluster
        Cluster of the case, after its warm-up.
    random_state : random.Random
        Source of randomness.
    duration_ms : int
        Duration of each fault.
    """

    def __init__(self, *, cluster, random_state, duration_ms):
        self.cluster = cluster
        self.random_state = random_state
        self.duration_ms = duration_ms
        self.centre = cluster.centres[0]

    def victim(self):
        """Returns the VM that grants tokens, or a random one of its centre."""
        nodes = self.cluster.nodes(self.centre)
        owner = self.cluster.owner(self.centre, 0)
        if owner is not None and self.random_state.random() < 0.5:
            return owner
        return self.random_state.choice(nodes)

    def others(self, node):
        """Returns the ids of the other VMs of a VM's data centre."""
        nodes = self.cluster.nodes(node.data_centre)
        return [each.vm_id for each in nodes if each is not node]

    def ids(self, centre=None):
        """Returns the ids of the live VMs."""
        return [node.vm_id for node in self.cluster.nodes(centre)]

    def at_end(self, function, *arguments):
        """Calls a function when the fault ends."""
        self.cluster.loop.after(self.duration_ms, function, *arguments)

    def replace(self, node):
        """Starts another VM in place of an ended one after a delay."""
        self.cluster.loop.after(
            REPLACED_AFTER_MS, self.cluster.start_node, node.data_centre
        )


def _store_fault(name, value):
    def fault(context):
        store = context.cluster.store
        setattr(store.faults, name, value)
        default = getattr(virtual_store.StoreFaults(), name)
        context.at_end(setattr, store.faults, name, default)

    return fault


def _link_fault(**values):
    def fault(context):
        network = context.cluster.network
        for name, value in values.items():
            setattr(network.faults, name, value)
            default = getattr(virtual_network.LinkFaults(), name)
            context.at_end(setattr, network.faults, name, default)

    return fault


def _crash(context):
    node = context.victim()
    context.cluster.crash(node)
    context.replace(node)


def _pause(context):
    pause_ms = context.random_state.choice((1_500, 4_000, 25_000))
    context.cluster.pause(context.victim(), pause_ms)


def _list_stale(context):
    cluster = context.cluster
    normal_ms = cluster.list_lag_ms
    cluster.list_lag_ms = 20_000
    context.at_end(setattr, cluster, "list_lag_ms", normal_ms)


def _cut(context, senders, recipients, both=True):
    network = context.cluster.network
    network.cut(senders, recipients, both)
    context.at_end(network.cut_links.clear)


def _partition_centres(context):
    first, second = context.cluster.centres[:2]
    _cut(context, context.ids(first), context.ids(second))


def _partition_inside(context):
    node = context.victim()
    _cut(context, [node.vm_id], context.others(node))


def _one_way(context):
    node = context.victim()
    senders, recipients = [node.vm_id], context.others(node)
    if context.random_state.random() < 0.5:
        senders, recipients = recipients, senders
    _cut(context, senders, recipients, both=False)


def _cut_platform(context):
    cut = context.cluster.cut_from_platform
    cut.update(context.ids(context.centre))
    context.at_end(cut.clear)


def _isolate(context):
    node = context.victim()
    everyone = [each for each in context.ids() if each != node.vm_id]
    network = context.cluster.network
    network.cut([node.vm_id], everyone)
    cut = context.cluster.cut_from_platform
    cut.add(node.vm_id)
    loop = context.cluster.loop
    loop.after(ISOLATED_MS, network.cut_links.clear)
    loop.after(ISOLATED_MS, cut.clear)
    context.cluster.hide(node, ISOLATED_MS)


def _clock_drift(context):
    for node in context.cluster.nodes():
        now_ms = context.cluster.loop.now_ms
        rate = context.random_state.choice((0.98, 1.0, 1.02))
        node.offset_ms += int(now_ms * (node.rate - rate))
        node.rate = rate


def _racing_edits(context):
    cluster = context.cluster
    for delay_ms, limit in ((0, 2), (20, 9), (40, 4), (300, 6)):
        cluster.loop.after(delay_ms, cluster.set_limit, "few", limit)


def _work_loss(context):
    cluster = context.cluster
    cluster.work_loss = 0.3
    context.at_end(setattr, cluster, "work_loss", 0.0)


FAULTS_BY_NAME = {
    "crash": _crash,
    "pause": _pause,
    "store down": _store_fault("down", True),
    "store slow": _store_fault("slow_ms", 900),
    "answer lost": _store_fault("answers_lost", True),
    "change late": _store_fault("applied_late_ms", 2_500),
    "read stale": _store_fault("stale_reads", True),
    "message lost": _link_fault(loss=0.3),
    "duplicated": _link_fault(duplication=0.5),
    "reordered": _link_fault(reorder_ms=1_500),
    "late": _link_fault(late=0.3, late_ms=4_000),
    "list stale": _list_stale,
    "centres cut": _partition_centres,
    "vm cut": _partition_inside,
    "one way": _one_way,
    "platform cut": _cut_platform,
    "vm isolated": _isolate,
    "clock drift": _clock_drift,
    "racing edits": _racing_edits,
    "worker link": _work_loss,
}


def _renew(context):
    """Changes nothing; leases are renewed as usual."""


def _takeover(context):
    node = context.cluster.owner(context.centre, 0)
    if node is not None:
        context.cluster.crash(node)
        context.replace(node)


def _token_move(context):
    nodes = context.cluster.nodes()
    context.random_state.shuffle(nodes)
    demanding = nodes[: len(nodes) // 3]
    for node in nodes:
        demand = 12 if node in demanding else 0
        node.load.demand_by_team = {
            team: demand for team in node.load.demand_by_team
        }
    context.at_end(_reset_demand, context.cluster)


def _reset_demand(cluster):
    for node in cluster.nodes():
        cluster.reset_demand(node)


def _drain(context):
    node = context.cluster.owner(context.centre, 0)
    if node is not None:
        context.cluster.drain(node)
        context.replace(node)


def _edit(context):
    cluster = context.cluster
    cluster.set_limit("many", 5)
    cluster.loop.after(LOWERED_MS, cluster.set_limit, "many", 18)


STEPS_BY_NAME = {
    "renew": _renew,
    "takeover": _takeover,
    "token move": _token_move,
    "drain": _drain,
    "edit": _edit,
}
