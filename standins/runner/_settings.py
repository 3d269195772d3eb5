"""Flags of the runner stand-in."""

import typing

import attrs
import cappa


@cappa.command(name="runner")
@attrs.frozen
class Settings:
    """A stand-in of a runner."""

    endpoint: typing.Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on")
    ] = "127.0.0.1:0"
    slots: typing.Annotated[
        int, cappa.Arg(long=True, help="requests executed at a time")
    ] = 8
    connections: typing.Annotated[
        int, cappa.Arg(long=True, help="connections accepted in all")
    ] = 60
    work_ms: typing.Annotated[
        int, cappa.Arg(long=True, help="time that a request takes, in ms")
    ] = 20
