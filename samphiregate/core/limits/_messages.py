"""Messages by which tokens move.

Amounts are running totals within one epoch of the granting VM and one
account of the holding VM, so that a lost, repeated or reordered message
changes nothing that the next one does not set right.
"""

import attrs

from samphiregate.core import base

NO_CEILING = -1


@attrs.frozen
class HoldingLine:
    """One team's tokens on the reporting VM.

    Parameters
    ----------
    base : int
        Tokens held when the account or the epoch began, less those that
        were dropped since.
    returned : int
        Tokens given back since.
    in_use : int
        Tokens of running work, handed-over work included; above what is
        held after a takeover.
    wanted : int
        Further tokens that work is waiting for.
    handed_over : int
        Tokens of work whose shard went to another VM long enough ago, in
        all; they may be given back once that VM's work is known of.
    granted : int
        Tokens that arrived, in all.
    ceiling : int
        The ceiling that arrived last.
    """

    team: str
    base: int
    returned: int
    in_use: int
    wanted: int
    handed_over: int = 0
    granted: int = 0
    ceiling: int = NO_CEILING


@attrs.frozen
class TokenReport(base.PeerMessage):
    """A holder tells the granting VM what it holds.

    Parameters
    ----------
    epoch : int
        That of the granting VM.
    account : int
        Raised by the holder when it no longer trusts what it held.
    sequence : int
        Rises with each report of an account. A report repeats all lines
        of earlier ones that are not acknowledged.
    complete : bool
        Whether teams without a line hold nothing.
    """

    epoch: int
    account: int
    sequence: int
    complete: bool = False
    lines: tuple[HoldingLine, ...] = ()


@attrs.frozen
class GrantLine:
    """One team's tokens for the receiving VM.

    Parameters
    ----------
    granted : int
        Tokens granted in all.
    recalled : int
        Tokens asked back in all.
    ceiling : int
        Running work above it has to stop; `NO_CEILING` for none.
    released : int
        Handed-over tokens that may be given back, in all.
    """

    team: str
    granted: int
    recalled: int = 0
    released: int = 0
    ceiling: int = NO_CEILING


@attrs.frozen
class TokenGrant(base.PeerMessage):
    """The granting VM tells a holder what it may hold.

    Parameters
    ----------
    registered : bool
        False if the account is unknown or was closed, so that the holder
        has to open another.
    sequence : int
        Acknowledges the report with that number and all before it.
    """

    epoch: int
    account: int
    registered: bool = True
    sequence: int = 0
    lines: tuple[GrantLine, ...] = ()


@attrs.frozen
class DemandLine:
    """One team's need in a data centre.

    Parameters
    ----------
    wanted : int
        Tokens that are missing.
    demand : int
        Tokens that would all be used.
    allotment : int
        Tokens that the data centre has.
    """

    team: str
    wanted: int
    demand: int
    allotment: int


@attrs.frozen
class TokenDemand(base.PeerMessage):
    """Asks another data centre's granting VM for tokens."""

    data_centre: str
    lines: tuple[DemandLine, ...] = ()


@attrs.frozen
class ApportionmentMoved(base.PeerMessage):
    """Tells a granting VM that the ledger credits its data centre."""

    version: int
