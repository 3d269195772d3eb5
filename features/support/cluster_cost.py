"""Measures the cost of membership, ownership and tokens per entry VM.

Run ``python -m features.support.cluster_cost`` for a table.
"""

import collections
import time

import attrs
import cattrs
import orjson

from features.support import cluster as cluster_module

WARM_UP_MS = 20_000
MEASURE_MS = 20_000
CENTRES = tuple("abcdefghijk")
SIZES = ((1, 2), (2, 4), (4, 12), (11, 12))


@attrs.frozen
class Cost:
    """Cost per VM, in bytes and messages sent per second.

    Parameters
    ----------
    mean_bytes, max_bytes : float
        Mean over all VMs, and that of the VM that sends most.
    mean_messages : float
        Mean number of messages sent.
    cpu_fraction : float
        Measured fraction of a CPU core; only printed in the table.
    """

    vm_count: int
    mean_bytes: float
    max_bytes: float
    mean_messages: float
    cpu_fraction: float


def measure(centre_count, vms_per_centre, limit_by_team=None, with_cpu=False):
    """Runs a cluster without faults and counts messages and bytes.

    Returns
    -------
    Cost
    """
    cluster = cluster_module.Cluster(
        seed=1,
        centres=CENTRES[:centre_count],
        vms_per_centre=vms_per_centre,
        limit_by_team=limit_by_team,
        demand_by_team=dict.fromkeys(limit_by_team or {}, 1),
        shard_count=64,
    )
    cluster.loop.run_until(WARM_UP_MS)
    bytes_by_vm = collections.Counter()
    messages_by_vm = collections.Counter()
    converter = cattrs.Converter()

    def on_send(sender, recipient, event):
        plain = converter.unstructure(event.message)
        bytes_by_vm[sender] += len(orjson.dumps(plain))
        messages_by_vm[sender] += 1

    cluster.network.on_send = on_send
    cluster.loop.run_until(WARM_UP_MS + MEASURE_MS)
    cluster.network.on_send = None
    cpu_s = 0.0
    if with_cpu:
        begin_s = time.process_time()
        cluster.loop.run_until(WARM_UP_MS + 2 * MEASURE_MS)
        cpu_s = time.process_time() - begin_s
    vm_count = len(cluster.nodes_by_id)
    seconds = MEASURE_MS / 1_000
    return Cost(
        vm_count=vm_count,
        mean_bytes=sum(bytes_by_vm.values()) / vm_count / seconds,
        max_bytes=max(bytes_by_vm.values()) / seconds,
        mean_messages=sum(messages_by_vm.values()) / vm_count / seconds,
        cpu_fraction=cpu_s / vm_count / seconds,
    )


def main():
    """Prints the cost of clusters of several sizes."""
    print("VMs  bytes/s mean  most  messages/s  core")
    for centre_count, vms_per_centre in SIZES:
        cost = measure(centre_count, vms_per_centre, with_cpu=True)
        print(
            f"{cost.vm_count:>3} {cost.mean_bytes:>13.0f}"
            f" {cost.max_bytes:>5.0f} {cost.mean_messages:>11.1f}"
            f" {cost.cpu_fraction:>5.2%}"
        )


if __name__ == "__main__":
    main()
