"""The state that an entry VM shows to operators."""

import collections

from samphiregate import __version__


def document(node):
    """Returns the document of ``GET /v1/status``.

    Parameters
    ----------
    node : Node
        A running entry VM.

    Returns
    -------
    dict
        Plain values only.
    """
    machines = node.machines
    return {
        "vm_id": node.settings.vm_id,
        "data_centre": node.settings.data_centre,
        "version": __version__,
        "revision": machines.configuration.configuration.revision,
        "news_age_ms": machines.configuration.news_age_ms,
        "peers": _peers(machines.membership),
        "owned_shards": _shards(machines.ownership),
        "running_by_team": machines.limits.in_use_by_team(),
        "queues": machines.runner_owner.describe(),
        "counts": _counts(node),
    }


def _counts(node):
    sent, received = node.peer_bytes()
    return {
        **node.metrics.counts_by_name,
        "peers.bytes_sent": sent,
        "peers.bytes_received": received,
    }


def _peers(membership):
    states = (peer.state.value for peer in membership.peers_by_id_.values())
    return dict(collections.Counter(states))


def _shards(ownership):
    return {
        str(shard.number): epoch
        for shard, epoch in sorted(ownership.owned_shards.items())
    }
