"""Flags of the worker stand-in."""

import typing

import attrs
import cappa


@cappa.command(name="worker")
@attrs.frozen
class Settings:
    """A stand-in of workers, which one process hosts together."""

    endpoint: typing.Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on")
    ] = "127.0.0.1:0"
    prefix: typing.Annotated[
        str, cappa.Arg(long=True, help="workers are called <prefix>-<number>")
    ] = "worker"
    workers: typing.Annotated[
        int, cappa.Arg(long=True, help="number of workers")
    ] = 1
    cpu_millis: typing.Annotated[
        int, cappa.Arg(long=True, help="thousandths of a core, each worker")
    ] = 32_000
    memory_mib: typing.Annotated[
        int, cappa.Arg(long=True, help="memory in MiB, each worker")
    ] = 65_536
    accelerators: typing.Annotated[
        int, cappa.Arg(long=True, default=0, help="accelerators, each worker")
    ] = 0
    sample_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="time between samples of use, in ms")
    ] = 2_000
