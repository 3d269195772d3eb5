"""Steps about the choice of victims for preemption."""

import attrs
import behave

from features.support import packing
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import queueing

TOTAL = model.Resources(100_000, 100_000, 0)
NO_ROOM = model.Resources()


def _prepare(context):
    context.queue = queueing.make_queue("fair-share")
    context.queue.observe(queueing.CapacityChanged(TOTAL), 0)
    context.policy = preemption.CheapestVictims(queue=context.queue)


def _run(context, task, worker_id):
    context.policy.observe(task, 0)
    started = queueing.ItemStarted(
        task.team, task.resources, task.work_class, task.urgent
    )
    context.queue.observe(started, 0)
    worker = packing.make_worker(64)
    worker = model.WorkerInfo(
        worker_id, "dc-1", "rack-1", "127.0.0.1:1", worker.capacity
    )
    event = placement.WorkerRoomChanged(worker, NO_ROOM)
    context.policy.observe(event, 0)


def _task(number, team, cores, started, flags=""):
    work_class = model.WorkClass.BATCH
    if "S" in flags:
        work_class = model.WorkClass.SERVICE
    if "G" in flags:
        work_class = model.WorkClass.GANG
    return preemption.TaskRunning(
        task_id=model.TaskId(str(number), 0),
        team=team,
        worker_id=f"w-{number}",
        resources=model.Resources(int(cores) * 1_000, 0, 0),
        work_class=work_class,
        started_ms=int(started),
        checkpointable="C" in flags,
        urgent="U" in flags,
    )


@behave.given("{cores:d} cores of birch that cannot be preempted")
def given_non_preemptible(context, cores):
    _prepare(context)
    _run(context, _task("urgent", "birch", cores, 0, "U"), "w-urgent")


@behave.given("a full worker for each of these tasks: {tasks}")
def given_tasks(context, tasks):
    for number, text in enumerate(tasks.split(", ")):
        task = _task(number, *text.split())
        _run(context, task, task.worker_id)


@behave.given("one full worker with birch tasks of {sizes} cores")
def given_one_worker(context, sizes):
    for number, cores in enumerate(sizes.split(",")):
        task = _task(number, "birch", cores, number)
        task = attrs.evolve(task, worker_id="w-0")
        _run(context, task, "w-0")


@behave.when("urgent work of ash needs {cores:d} cores")
def when_urgent_work(context, cores):
    need = model.Resources(cores * 1_000, 0, 0)
    item = queueing.QueuedItem(
        "urgent", "ash", model.WorkClass.BATCH, need, urgent=True
    )
    context.queue.observe(queueing.ItemQueued(item), 0)
    question = preemption.SelectVictims("ash", need)
    context.answer = context.policy.choose(question, 1_000)


@behave.then("the victims are {victims}")
def then_victims(context, victims):
    names = "none"
    if context.answer is not None:
        ids = [task_id.job_id for task_id in context.answer.task_ids]
        names = ",".join(ids)
    assert names == victims, names
