"""Steps for the size learner and the reclamation policy."""

import behave

from samphiregate.core import model
from samphiregate.core import sizing

BATCH = model.WorkClass.BATCH
CAPACITY = model.Resources(64_000, 64_000, 0)


def _resources(millicores):
    return model.Resources(millicores, 1_000, 0)


@behave.when(
    "{count:d} tasks declare {declared:d} millicores and use {used:d}"
)
def when_declare(context, count, declared, used):
    if not hasattr(context, "learner"):
        context.learner = sizing.SizeLearner()
    event = sizing.UsageObserved(
        "ash", BATCH, _resources(declared), _resources(used)
    )
    for _task in range(count):
        context.learner.observe(event, 0)


@behave.then(
    "{low:d} to {high:d} are booked for a task that declares {declared:d}"
)
def then_booked(context, low, high, declared):
    question = sizing.ComputeBooking(
        "ash", BATCH, _resources(declared), CAPACITY
    )
    booked = context.learner.choose(question, 0).cpu_millis
    assert low <= booked <= high, booked


@behave.given(
    "a worker overcommitted by {cores:d} cores since {since:d} ms"
    " with tasks {tasks}"
)
def given_overcommitted(context, cores, since, tasks):
    context.reclamation_policy = sizing.ReclamationPolicy()
    excess = model.Resources(cores * 1_000, 0, 0)
    event = sizing.WorkerExcess("w-1", excess)
    context.reclamation_policy.observe(event, since)
    usages = tuple(_task_usage(text) for text in tasks.split(", "))
    context.question = sizing.SelectReclaimAction("w-1", excess, usages)


def _task_usage(text):
    name, amounts, *flags = text.split()
    booked, used = (int(part) * 1_000 for part in amounts.split("/"))
    is_service = "S" in flags
    return sizing.TaskUsage(
        task_id=model.TaskId(name, 0),
        work_class=model.WorkClass.SERVICE if is_service else BATCH,
        booked=model.Resources(booked, 0, 0),
        used=model.Resources(used, 0, 0),
        checkpointable="C" in flags,
        urgent="U" in flags,
        throttled="T" in flags,
    )


@behave.when("the reclaim action is requested at {now:d} ms")
def when_requested(context, now):
    context.action = context.reclamation_policy.choose(context.question, now)


@behave.then("no reclaim action is selected")
def then_no_action(context):
    assert context.action is None, context.action


@behave.then("the reclaim action is {step} {tasks}")
def then_action(context, step, tasks):
    assert context.action is not None
    assert context.action.step.value == step, context.action
    names = [task_id.job_id for task_id in context.action.task_ids]
    assert names == tasks.split(","), names
