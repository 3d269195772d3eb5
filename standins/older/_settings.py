"""Flags of the older scheduler's stand-in."""

import typing

import attrs
import cappa


@cappa.command(name="older")
@attrs.frozen
class Settings:
    """A stand-in of the older scheduler."""

    hosts: typing.Annotated[
        tuple[str, ...],
        cappa.Arg(long=True, help="ip:port of a worker stand-in process"),
    ]
    tasks: typing.Annotated[
        int, cappa.Arg(long=True, help="tasks running at first")
    ] = 8
    cpu_millis: typing.Annotated[
        int, cappa.Arg(long=True, help="thousandths of a core, each task")
    ] = 4_000
    memory_mib: typing.Annotated[
        int, cappa.Arg(long=True, help="memory in MiB, each task")
    ] = 4_096
    run_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="run time of a task, in ms")
    ] = 5_000
    drain_start_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="when it begins to drain, in ms")
    ] = 10_000
    drain_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="how long draining takes, in ms")
    ] = 20_000
    seed: typing.Annotated[
        int, cappa.Arg(long=True, help="seed of its choices")
    ] = 1
