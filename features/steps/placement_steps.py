"""Steps of the placement scenarios."""

import behave

from features.support import packing
from samphiregate.core import model
from samphiregate.core import placement

CORE = 1_000


@behave.given("{plain:d} plain workers and {gpu:d} GPU workers under {policy}")
def given_workers(context, plain, gpu, policy):
    context.pool = packing.WorkerPool(plain, gpu, policy)
    context.gang = None


@behave.when("{count:d} tasks of 2 cores are placed")
def when_tasks(context, count):
    for _task in range(count):
        context.pool.place(2)


@behave.when("{count:d} tasks of 2 cores are placed that end at {end:d} ms")
def when_tasks_that_end(context, count, end):
    for _task in range(count):
        context.pool.place(2, end_ms=end)


@behave.when("a service of {replicas:d} replicas is placed")
def when_service(context, replicas):
    for _replica in range(replicas):
        context.pool.place(2, work_class=model.WorkClass.SERVICE)


@behave.when("the replica on one rack is gone and placed again")
def when_replica_gone(context):
    context.pool.remove(context.pool.services[0])
    context.pool.place(2, work_class=model.WorkClass.SERVICE)


@behave.when("a gang of {count:d} tasks of {cores:d} cores starves")
def when_starves(context, count, cores):
    context.pool.report_starved_gang("gang-1", count, cores)


@behave.when("two gangs of {count:d} tasks of {cores:d} cores starve")
def when_two_starve(context, count, cores):
    context.pool.report_starved_gang("gang-1", count, cores)
    context.pool.report_starved_gang("gang-2", count, cores)
    context.pool.report_starved_gang("gang-1", count, cores)


@behave.when("every task ends while others keep coming")
def when_drains(context):
    for task in tuple(context.pool.tasks):
        context.pool.remove(task)
        context.gang = context.gang or context.pool.choose_gang_workers(
            "gang-1", 4, 16
        )
        context.pool.place(2)


@behave.when("a task with an accelerator is placed")
def when_gpu_task(context):
    context.pool.place(2, accelerators=1)


@behave.then("{count:d} GPU worker is used")
def then_gpu_used(context, count):
    used = [each for each in context.pool.used() if "gpu" in each]
    assert len(used) == count, used


@behave.then("no GPU worker is used")
def then_no_gpu(context):
    assert not [each for each in context.pool.used() if "gpu" in each]


@behave.then("{count:d} plain workers are empty")
def then_empty_workers(context, count):
    assert len(context.pool.empty("plain")) == count, context.pool.used()


@behave.then("it is on {racks:d} racks and on {workers:d} workers")
def then_spread(context, racks, workers):
    worker_ids = [worker_id for worker_id, *_rest in context.pool.services]
    used = {context.pool.workers_by_id[each].rack for each in worker_ids}
    assert len(used) == racks, used
    assert len(set(worker_ids)) == workers, worker_ids


@behave.then(
    "a gang of {count:d} tasks of {cores:d} cores gets {places:d} places"
)
def then_gang_gets(context, count, cores, places):
    worker_ids = context.pool.choose_gang_workers("gang-1", count, cores)
    assert len(worker_ids or ()) == places, worker_ids


@behave.then("the gang has its places")
def then_gang_placed(context):
    assert context.gang is not None and len(context.gang) == 4


@behave.then("the gang has no places")
def then_gang_not_placed(context):
    assert context.gang is None, context.gang


@behave.then("workers are reserved for the first gang alone")
def then_reserved_for_first(context):
    _check_reserved(context, "gang-1")


@behave.then("workers are reserved for the second gang alone")
def then_reserved_for_second_alone(context):
    _check_reserved(context, "gang-2")


@behave.when("the second keeps starving until {now:d} ms")
def when_keeps_starving(context, now):
    context.pool.report_starved_gang("gang-2", 6, 16, now_ms=now - 1)
    _check_reserved(context, "gang-1")
    context.pool.report_starved_gang("gang-2", 6, 16, now_ms=now)


@behave.then("no workers are reserved")
def then_no_workers_reserved(context):
    assert context.pool.policy.describe()["reserved"] == 0


@behave.then("once it is withdrawn they are reserved for the second")
def then_reserved_for_second(context):
    context.pool.observe(placement.GangWithdrawn("gang-1"))
    _check_reserved(context, "gang-2")


@behave.then("once that is withdrawn none are reserved")
def then_none_reserved(context):
    context.pool.observe(placement.GangWithdrawn("gang-2"))
    description = context.pool.policy.describe()
    assert description["reserved"] == 0, description


def _check_reserved(context, gang):
    description = context.pool.policy.describe()
    assert description["reserved_for"] == gang, description
    assert description["reserved"] >= 6, description


@behave.then("at {now:d} ms a task that runs {length:d} ms finds {found}")
def then_finds(context, now, length, found):
    worker_id = context.pool.choose_worker(2, run_time_ms=length, now_ms=now)
    assert (worker_id is not None) == (found == "a worker"), worker_id


@behave.given("the allocation of a worker with {cores:d} cores")
def given_allocation(context, cores):
    context.allocation = placement.WorkerAllocation(packing.make_worker(cores))


@behave.when("it receives {events}")
def when_events(context, events):
    if events == "nothing":
        return
    for event in events.split(", "):
        packing.apply_event(context.allocation, event)


@behave.then(
    "at {now:d} ms it has room for {room:g} cores"
    " and an excess of {excess:g} cores"
)
def then_room(context, now, room, excess):
    found = context.allocation.room(now).cpu_millis
    assert found == round(room * CORE), found
    found = context.allocation.excess().cpu_millis
    assert found == round(excess * CORE), found
