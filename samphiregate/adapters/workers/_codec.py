"""The worker protocol's documents."""

import functools

import attrs

from samphiregate.core import model
from samphiregate.core import workers


def encode_exchange(exchange):
    """Returns the document of an `ExchangeWithWorker`."""
    return {
        "owner": exchange.owner,
        "epoch": exchange.epoch,
        "sequence": exchange.sequence,
        "incarnation": exchange.incarnation,
        "lease_until_ms": exchange.lease_until_ms,
        "full": exchange.full,
        "commands": [encode_command(one) for one in exchange.commands],
    }


@functools.singledispatch
def encode_command(command):
    """Returns the document of a command."""
    raise TypeError(f"unknown command {type(command).__name__}")


@encode_command.register
def _(command: workers.StartTask):
    return {
        **_about(command, "start"),
        "team": command.team,
        "class": command.work_class.value,
        "resources": _amount(command.resources),
        "urgent": command.urgent,
        "checkpointable": command.checkpointable,
        "run_time_ms": command.run_time_ms,
        "command": command.command,
        "checkpoint": command.checkpoint,
    }


@encode_command.register
def _(command: workers.StopTask):
    return _about(command, "stop")


@encode_command.register
def _(command: workers.CheckpointTask):
    return _about(command, "checkpoint")


@encode_command.register
def _(command: workers.ForgetTask):
    return _about(command, "forget")


@encode_command.register
def _(command: workers.ThrottleTask):
    return {
        **_about(command, "throttle"),
        "resources": _amount(command.resources),
    }


def decode_report(document):
    """Returns the `WorkerReport` of an answer's document.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the document is not one of this protocol.
    """
    used = document["used"]
    return workers.WorkerReport(
        incarnation=document["incarnation"],
        accepted=document["accepted"],
        epoch=document["epoch"],
        clock_ms=document["clock_ms"],
        tasks=tuple(_task(one) for one in document["tasks"]),
        full=document["full"],
        used_total=None if used is None else model.Resources(*used),
        used_ours=model.Resources(*document["used_ours"]),
        age_ms=document["age_ms"],
    )


def _about(command, kind):
    return {
        "kind": kind,
        "job_id": command.task_id.job_id,
        "index": command.task_id.index,
        "attempt": command.attempt,
    }


def _amount(resources):
    return list(attrs.astuple(resources))


def _task(document):
    return workers.TaskReport(
        model.TaskId(document["job_id"], document["index"]),
        document["attempt"],
        workers.WorkerTaskState(document["state"]),
        team=document["team"],
        work_class=model.WorkClass(document["class"]),
        urgent=document["urgent"],
        checkpointable=document["checkpointable"],
        reserved=model.Resources(*document["reserved"]),
        used=model.Resources(*document["used"]),
        checkpoint=document["checkpoint"],
        remaining_ms=document["remaining_ms"],
    )
