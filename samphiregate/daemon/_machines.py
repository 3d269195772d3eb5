"""Builds the state machines of one entry VM from its settings."""

import random

import attrs

from samphiregate.core import base
from samphiregate.core import configuration
from samphiregate.core import jobs
from samphiregate.core import limits
from samphiregate.core import membership
from samphiregate.core import ownership
from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import quarantine
from samphiregate.core import queueing
from samphiregate.core import requests
from samphiregate.core import sizing
from samphiregate.core import vm
from samphiregate.core import workers

LAPSE_LEASES = 2
DEADLINE_MARGIN_MS = 5_000
REQUEST_CLASSES = (
    requests.RequestArrived,
    requests.CallerDisconnected,
    requests.DispatchRequest,
    requests.RequestRefused,
    requests.RequestFinished,
    requests.WithdrawRequest,
    requests.LoadSummary,
    requests.LoadChanged,
    requests.RunnerAnswered,
    requests.RunnerFailed,
    requests.RunnerProbed,
)
PROBE_CLASSES = (membership.Ping, membership.Ack, membership.IndirectPing)
EXCHANGE_CLASSES = (workers.WorkerAnswered, workers.WorkerUnreachable)


@attrs.frozen
class Machines:
    """The machines of one entry VM, and the VM that holds them."""

    entry_vm: vm.EntryVm
    membership: base.StateMachine
    ownership: base.StateMachine
    configuration: base.StateMachine
    limits: base.StateMachine
    request_edge: base.StateMachine
    runner_owner: base.StateMachine
    job_owner: base.StateMachine
    worker_owner: base.StateMachine


def build(settings):
    """Builds all machines.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    Machines
    """
    seeds = random.Random(settings.seed)

    def common():
        return {
            "vm_id": settings.vm_id,
            "data_centre": settings.data_centre,
            "random_state": random.Random(seeds.random()),
        }

    members = membership.Membership(**common())
    owners = ownership.Ownership(
        membership=members, shard_count=settings.shard_count, **common()
    )
    replica = configuration.ConfigurationReplica(
        membership=members,
        keys_valid_without_news_ms=settings.offline_ms,
        **common(),
    )
    tokens = limits.TokenHolder(
        membership=members,
        ownership=owners,
        lapse_ms=lapse_ms(settings),
        **common(),
    )
    edge = requests.RequestEdge(
        configuration_replica=replica, membership=members, **common()
    )
    runner_owner = requests.RunnerOwner(
        tokens=tokens, shard_count=settings.shard_count, **common()
    )
    worker_owner = workers.WorkerOwner(
        ownership=owners,
        membership=members,
        tokens=tokens,
        placement_policy=placement.make_placement("indexed-best-fit"),
        sizing_policy=sizing.SizeLearner(),
        quarantine_policy=quarantine.QuarantinePolicy(),
        preemption_policy=preemption.CheapestVictims(),
        overuse_policy=sizing.ReclamationPolicy(),
        shard_count=settings.shard_count,
        renew_ms=settings.renew_ms,
        lease_ms=settings.lease_ms,
        **common(),
    )
    job_owner = jobs.JobOwner(
        ownership=owners,
        membership=members,
        queue=queueing.make_queue("fair-share"),
        quarantine_policy=quarantine.QuarantinePolicy(),
        shard_count=settings.shard_count,
        **common(),
    )
    always = (members, owners, replica, tokens)
    for_requests = (*always, edge, runner_owner)
    entry_vm = vm.EntryVm(
        vm_id=settings.vm_id,
        machines=(*for_requests, worker_owner, job_owner),
        handlers_by_class={
            **dict.fromkeys(REQUEST_CLASSES, for_requests),
            **dict.fromkeys(PROBE_CLASSES, always),
            **dict.fromkeys(EXCHANGE_CLASSES, (*always, worker_owner)),
        },
    )
    return Machines(
        entry_vm=entry_vm,
        membership=members,
        ownership=owners,
        configuration=replica,
        limits=tokens,
        request_edge=edge,
        runner_owner=runner_owner,
        job_owner=job_owner,
        worker_owner=worker_owner,
    )


def lapse_ms(settings):
    """Returns when work of a VM that is gone has surely ended, in ms.

    Until then its tokens are not given to others, as its tasks may run to
    the end of their leases, and its requests to their deadlines.
    """
    return max(
        LAPSE_LEASES * settings.lease_ms,
        settings.longest_deadline_ms + DEADLINE_MARGIN_MS,
    )
