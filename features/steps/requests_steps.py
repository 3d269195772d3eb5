"""Steps for requests in a simulation of entry VMs and runners."""

import behave
import hypothesis
from hypothesis import strategies

from features.support import requests as support
from samphiregate.core import base
from samphiregate.core import fleet

OPERATIONS = (
    "arrive",
    "arrive-idempotent",
    "pass-time",
    "fault",
    "kill",
    "break-link",
    "move-shard",
    "withdraw-key",
    "stop",
)
MAX_RANDOM_RUNS = 60
QUIET_MS = 20_000


def arrive(context, count, gap_ms=0, team="huts", **fields):
    world = context.world
    for _ in range(count):
        number = len(context.ids)
        request_id = f"request-{number}"
        context.ids.append(request_id)
        context.teams_by_id[request_id] = team
        world.arrive(request_id, team=team, **fields)
        world.run(gap_ms)


def results(context):
    return [context.world.result(name) for name in context.ids]


@behave.given(
    "requests: {vms:d} entry VMs with {runners:d} runners of {slots:d} slots"
)
def given_world(context, vms, runners, slots):
    context.world = support.World(vms=vms, runners=runners, slots=slots)
    context.ids = []
    context.teams_by_id = {}


@behave.given("requests: every runner has the fault {fault}")
def given_fault(context, fault):
    for runner in context.world.runners_by_id.values():
        runner.fault = fault


@behave.given("requests: runner {number:d} has the fault {fault}")
def given_one_fault(context, number, fault):
    context.world.runners_by_id[f"runner-{number}"].fault = fault


@behave.given("requests: the entry VM has not settled")
def given_not_settled(context):
    context.world.replica.settled = False


@behave.given("requests: work takes {duration:d} ms")
def given_work(context, duration):
    for runner in context.world.runners_by_id.values():
        runner.work_ms = duration


@behave.given("requests: others use {count:d} slots of every runner")
def given_others(context, count):
    for runner in context.world.runners_by_id.values():
        runner.active |= {("of others", number) for number in range(count)}
    context.world.run(support.TICK_MS)


@behave.given("requests: every peer message arrives twice")
def given_repeats(context):
    context.world.repeat_messages = True


@behave.given("requests: the limit of team {team} is {limit:d}")
def given_limit(context, team, limit):
    context.world.tokens.limit_by_team[team] = limit


@behave.when("requests: 1 request arrives, idempotent {idempotent}")
def when_one_arrives(context, idempotent):
    arrive(context, 1, idempotent=idempotent == "yes")


@behave.when(
    "requests: {count:d} requests arrive at once, idempotent {idempotent}"
)
def when_many_arrive(context, count, idempotent):
    arrive(context, count, idempotent=idempotent == "yes")


@behave.when(
    "requests: {count:d} requests arrive, one each {gap:d} ms,"
    " idempotent {idempotent}"
)
def when_they_arrive(context, count, gap, idempotent):
    arrive(context, count, gap, idempotent=idempotent == "yes")


@behave.when("requests: {count:d} requests of team {team} arrive at once")
def when_team_floods(context, count, team):
    arrive(context, count, team=team, deadline_in_ms=QUIET_MS)


@behave.when(
    "requests: {count:d} requests of team {team} arrive, one each {gap:d} ms"
)
def when_team_sends(context, count, team, gap):
    arrive(context, count, gap, team=team)


@behave.when("requests: a request of team {team} arrives for queue {queue}")
def when_team_arrives(context, team, queue):
    arrive(context, 1, team="" if team == "no-key" else team, queue=queue)


@behave.when("requests: a request arrives with {left:d} ms left")
def when_short_arrives(context, left):
    arrive(context, 1, deadline_in_ms=left)


@behave.when("requests: {duration:d} ms pass")
def when_time_passes(context, duration):
    context.world.run(duration)


@behave.when("requests: the other entry VM is lost by {how}")
def when_vm_lost(context, how):
    world = context.world
    if how == "its death":
        world.kill("vm-1")
        return
    if how == "a report of its death":
        dead = fleet.PeerState.DEAD
        changed = fleet.PeerStateChanged("vm-1", support.DATA_CENTRE, dead)
        world.dropped_links.add(("vm-1", "vm-0"))
        world.deliver("vm-0", changed)
        return
    if how == "silence":
        world.dropped_links.add(("vm-1", "vm-0"))
        return
    world.deliver("vm-0", base.PeerUnreachable("vm-1"))
    if how == "a broken link":
        world.dropped_links.add(("vm-1", "vm-0"))
        world.deliver("vm-1", base.PeerUnreachable("vm-0"))


@behave.when("requests: entry VM 0 is lost by its death")
def when_edge_lost(context):
    context.world.kill("vm-0")


@behave.when(
    "requests: 10 requests arrive while no entry VM owns the shards,"
    " for {duration:d} ms"
)
def when_unowned(context, duration):
    world = context.world
    for shard in range(support.SHARD_COUNT):
        for vm_id in world.machines_by_vm:
            world.revoke_shard(vm_id, shard)
    arrive(context, 10)
    world.run(duration)
    world.share_shards()


@behave.then("requests: the runners received at most {max_count:d} requests")
def then_received(context, max_count):
    runners = context.world.runners_by_id.values()
    received_count = sum(runner.received_count for runner in runners)
    assert received_count <= max_count, received_count


@behave.then("requests: the runners executed at most {max_count:d} requests")
def then_executed_at_most(context, max_count):
    runners = context.world.runners_by_id.values()
    executed = sum(len(runner.executed) for runner in runners)
    assert executed <= max_count, executed


@behave.when("requests: the sent requests of entry VM {number:d} are counted")
def when_sent_recorded(context, number):
    context.sent_before = context.world.sent_by_vm[f"vm-{number}"]


@behave.then("requests: entry VM {number:d} sent no more requests")
def then_sent_nothing(context, number):
    sent = context.world.sent_by_vm[f"vm-{number}"]
    assert sent == context.sent_before > 0, (sent, context.sent_before)


@behave.when("requests: the key is withdrawn and the update {update}")
def when_key_withdrawn(context, update):
    world = context.world
    world.replica.withdrawn.add("hash-huts")
    if update == "arrives":
        world.deliver_to_all(fleet.ConfigurationChanged(world.configuration))


@behave.when("requests: runner {number:d} is leaving according to {source}")
def when_runner_leaves(context, number, source):
    world = context.world
    runner = world.runners_by_id[f"runner-{number}"]
    if source == "the platform":
        world.set_leaving(runner)
    else:
        runner.fault = "leaving"
        # These requests make the runner report that it is leaving; they
        # aren't counted.
        arrive(context, 4)
        world.run(support.TICK_MS)
        arrive_count = 4
        del context.ids[-arrive_count:]


@behave.when("requests: entry VM {number:d} is asked to stop")
def when_vm_stops(context, number):
    context.world.deliver(f"vm-{number}", base.StopRequested())


@behave.when("requests: all shards move to entry VM {number:d}")
def when_shards_move(context, number):
    for shard in range(support.SHARD_COUNT):
        context.world.move_shard(shard, f"vm-{number}")


@behave.when("requests: every runner is restarted")
def when_runners_restart(context):
    for runner in context.world.runners_by_id.values():
        runner.restart_hung()


@behave.then("requests: it ended as {result}")
def then_it_ended(context, result):
    assert results(context)[-1] == result, results(context)[-1]


@behave.then("requests: it was executed {min_count:d} to {max_count:d} times")
def then_executed(context, min_count, max_count):
    times = context.world.executions(context.ids[-1])
    assert min_count <= times <= max_count, times


@behave.then("requests: at least {count:d} were answered with 200")
def then_answered(context, count):
    answered = results(context).count("answered 200")
    assert answered >= count, (answered, set(results(context)))


@behave.then("requests: at least {count:d} ended as {result}")
def then_ended(context, count, result):
    ended = results(context).count(result)
    assert ended >= count, (ended, set(results(context)))


@behave.then("requests: no invariant was violated")
def then_all_holds(context):
    context.world.check()


@behave.then("requests: late answers were dropped")
def then_late_dropped(context):
    described = context.world.edge("vm-0").describe()
    assert described["late_answers"] > 0, described


@behave.then("requests: runner {number:d} executed nothing of the last {n:d}")
def then_executed_nothing(context, number, n):
    executed = context.world.runners_by_id[f"runner-{number}"].executed
    assert not set(executed) & set(context.ids[-n:]), executed


@behave.then("requests: 1 to {max_count:d} retries were made")
def then_retries_bounded(context, max_count):
    retries = sum(
        context.world.edge(vm_id).describe()["retries"]
        for vm_id in context.world.machines_by_vm
    )
    assert 0 < retries <= max_count, retries


@behave.then("requests: every request of team {team} was answered")
def then_team_answered(context, team):
    names = [n for n in context.ids if context.teams_by_id[n] == team]
    ended = {context.world.result(name) for name in names}
    assert ended == {"answered 200"}, ended


@behave.then(
    "requests: requests of team {team} were refused as overloaded"
    " with a retry time"
)
def then_team_refused(context, team):
    refusals = [
        context.world.answer(name).refusal
        for name in context.ids
        if context.teams_by_id[name] == team
    ]
    overloaded = [r for r in refusals if r and r.code.value == "overloaded"]
    assert overloaded and all(r.retry_after_ms for r in overloaded)


@behave.then("requests: entry VM {number:d} has nothing in flight")
def then_nothing_in_flight(context, number):
    machines = context.world.machines_by_vm[f"vm-{number}"]
    assert [machine.in_flight for machine in machines] == [0, 0]


@behave.then("requests: {count:d} tokens are held")
def then_tokens_held(context, count):
    held = sum(context.world.tokens.held_by_team.values())
    assert held == count, held


@behave.then("requests: at most {limit:d} of team {team} ran at a time")
def then_limit_held(context, limit, team):
    assert context.world.max_running_by_team[team] <= limit


@behave.then("requests: in random runs no invariant is violated")
def then_random_runs(context):
    operation = strategies.tuples(
        strategies.sampled_from(OPERATIONS), strategies.integers(0, 63)
    )

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=MAX_RANDOM_RUNS,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.lists(operation, min_size=5, max_size=60),
        strategies.integers(0, 1_000),
    )
    def run(operations, seed):
        play(operations, seed)

    run()


def play(operations, seed):
    """Runs random operations and checks the invariants."""
    world = support.World(vms=3, runners=4, slots=2, seed=seed)
    for name, number in operations:
        play_one(world, name, number)
        world.run(1)
    for runner in world.runners_by_id.values():
        runner.restart_hung()
    world.run(QUIET_MS)
    world.check()
    for vm_id in set(world.machines_by_vm) - world.dead:
        machines = world.machines_by_vm[vm_id]
        assert [machine.in_flight for machine in machines] == [0, 0]
    held = sum(world.tokens.held_by_team.values())
    assert held == world.tokens_held_by_dead(), held


def play_one(world, name, number):
    alive = sorted(set(world.machines_by_vm) - world.dead)
    vm_id = alive[number % len(alive)]
    runner = world.runners_by_id[f"runner-{number % 4}"]
    if name.startswith("arrive"):
        idempotent = name == "arrive-idempotent"
        for _ in range(1 + number // 8):
            request_id = f"request-{len(world.arrivals_by_id)}"
            world.arrive(request_id, vm_id, idempotent=idempotent)
    elif name == "pass-time":
        world.run(number * 10)
    elif name == "fault":
        faults = ("none", "hang", "cut", "refuse", "down", "error", "slow")
        runner.fault = faults[number // 4 % len(faults)]
    elif name == "kill" and len(alive) > 1:
        world.kill(vm_id)
        for shard in range(support.SHARD_COUNT):
            world.move_shard(shard, alive[number % len(alive) - 1])
    elif name == "break-link":
        other = alive[(number + 1) % len(alive)]
        world.break_link(vm_id, other)
    elif name == "move-shard":
        world.move_shard(number % support.SHARD_COUNT, vm_id)
    elif name == "withdraw-key":
        world.replica.withdrawn ^= {"hash-huts"}
        changed = fleet.ConfigurationChanged(world.configuration)
        world.deliver_to_all(changed)
    elif name == "stop" and len(alive) > 1:
        world.deliver(vm_id, base.StopRequested())
        state = fleet.PeerState.LEAVING
        world.deliver_to_all(
            fleet.PeerStateChanged(vm_id, support.DATA_CENTRE, state)
        )
