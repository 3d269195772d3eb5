"""Messages that move tokens between VMs.

Amounts are running totals within one epoch of the granting VM and one
account of the holder. The next message therefore corrects the effect of a
lost, repeated or reordered one.
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
        Tokens held when the account or the epoch began, less those
        dropped since.
    returned : int
        Total of tokens returned since.
    in_use : int
        Tokens of running work, including handed-over work; can exceed
        the tokens held after a takeover.
    wanted : int
        Further tokens that work is waiting for.
    handed_over : int
        Total of tokens of work whose shard moved to another VM at least
        `lapse_ms` ago; they can be returned once that VM has reported its
        work.
    granted : int
        Total of granted tokens received.
    ceiling : int
        Latest ceiling received.
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
    """Reports a holder's tokens to the granting VM.

    Parameters
    ----------
    epoch : int
        Epoch of the granting VM.
    account : int
        Number of the holder's account; the holder increments it when the
        tokens that it holds may no longer be valid.
    sequence : int
        Increases with each report of an account. A report includes the
        lines of all earlier reports that are not acknowledged.
    complete : bool
        Whether teams without a line hold no tokens.
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
        Total of tokens granted.
    recalled : int
        Total of tokens recalled.
    ceiling : int
        Running work above it has to stop; `NO_CEILING` for none.
    released : int
        Total of handed-over tokens that may be returned.
    """

    team: str
    granted: int
    recalled: int = 0
    released: int = 0
    ceiling: int = NO_CEILING


@attrs.frozen
class TokenGrant(base.PeerMessage):
    """Grants and recalls tokens of a holder.

    Parameters
    ----------
    registered : bool
        False if the account is unknown or was closed; the holder then has
        to open a new one.
    sequence : int
        Acknowledges the report with this number and all earlier ones.
    """

    epoch: int
    account: int
    registered: bool = True
    sequence: int = 0
    lines: tuple[GrantLine, ...] = ()


@attrs.frozen
class DemandLine:
    """One team's demand in a data centre.

    Parameters
    ----------
    wanted : int
        Tokens that are missing.
    demand : int
        Tokens that the data centre could use in total.
    allotment : int
        Tokens that the ledger assigns to the data centre.
    """

    team: str
    wanted: int
    demand: int
    allotment: int


@attrs.frozen
class TokenDemand(base.PeerMessage):
    """Requests tokens from another data centre's granting VM."""

    data_centre: str
    lines: tuple[DemandLine, ...] = ()


@attrs.frozen
class ApportionmentMoved(base.PeerMessage):
    """Notifies a granting VM that its data centre was credited tokens.

    Parameters
    ----------
    version : int
        Store version of the ledger after the transfer.
    """

    version: int
