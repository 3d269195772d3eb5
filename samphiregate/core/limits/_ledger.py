"""Ledger in the store that splits each limit between data centres."""

import attrs
import orjson


@attrs.frozen
class Ledger:
    """Tokens of each team by data centre.

    Parameters
    ----------
    revision : int
        Highest configuration revision of any writer so far.
    epoch_by_centre : dict
        Epoch of the latest VM that claimed a data centre's tokens.
    tokens_by_team : dict
        Tokens by data centre, keyed by team.
    """

    revision: int = 0
    epoch_by_centre: dict = attrs.field(factory=dict)
    tokens_by_team: dict = attrs.field(factory=dict)

    def tokens(self, team, data_centre):
        """Returns the tokens of a team in a data centre."""
        return self.tokens_by_team.get(team, {}).get(data_centre, 0)

    def total(self, team):
        """Returns the tokens of a team in all data centres."""
        return sum(self.tokens_by_team.get(team, {}).values())


def encode(ledger):
    """Returns a `Ledger` as encoded for the store."""
    centres = sorted(
        {
            centre
            for tokens in ledger.tokens_by_team.values()
            for centre in tokens
        }
    )
    teams = {
        team: [tokens.get(centre, 0) for centre in centres]
        for team, tokens in sorted(ledger.tokens_by_team.items())
        if any(tokens.values())
    }
    return orjson.dumps(
        {
            "revision": ledger.revision,
            "epochs": ledger.epoch_by_centre,
            "data_centres": centres,
            "teams": teams,
        }
    )


def decode(value):
    """Returns the decoded `Ledger`; an empty one for an empty value."""
    if not value:
        return Ledger()
    document = orjson.loads(value)
    centres = document["data_centres"]
    return Ledger(
        revision=document["revision"],
        epoch_by_centre=document["epochs"],
        tokens_by_team={
            team: dict(zip(centres, tokens, strict=True))
            for team, tokens in document["teams"].items()
        },
    )


@attrs.frozen
class LedgerChanges:
    """Changes that one data centre requests.

    Parameters
    ----------
    acquired_by_team : dict
        Tokens to acquire of those that no data centre has.
    retired_by_team : dict
        Tokens to give up; no data centre has them afterwards.
    transfers_by_team : dict
        Tokens to transfer to other data centres: dicts keyed by data
        centre, keyed by team.
    """

    acquired_by_team: dict = attrs.field(factory=dict)
    retired_by_team: dict = attrs.field(factory=dict)
    transfers_by_team: dict = attrs.field(factory=dict)

    def debits(self):
        """Returns the tokens that leave the data centre, keyed by team."""
        debits = dict(self.retired_by_team)
        for team, transfers in self.transfers_by_team.items():
            debits[team] = debits.get(team, 0) + sum(transfers.values())
        return {team: count for team, count in debits.items() if count}

    def __bool__(self):
        return bool(self.acquired_by_team or self.debits())


def apply(ledger, changes, *, data_centre, epoch, revision, limit_by_team):
    """Returns the ledger after one data centre's changes.

    Acquired tokens never raise a team's total above its limit. A writer
    whose configuration is older than the ledger's acquires nothing.

    Parameters
    ----------
    ledger : Ledger
        Current ledger in the store.
    changes : LedgerChanges
        Changes to apply.
    data_centre : str
        Data centre of the writer.
    epoch : int
        Epoch of the writer.
    revision : int
        Configuration revision of the writer.
    limit_by_team : dict
        Limits in that revision.

    Returns
    -------
    Ledger
    """
    tokens_by_team = {
        team: dict(tokens) for team, tokens in ledger.tokens_by_team.items()
    }
    for team, count in changes.debits().items():
        tokens = tokens_by_team.setdefault(team, {})
        tokens[data_centre] = tokens.get(data_centre, 0) - count
    for team, transfers in changes.transfers_by_team.items():
        tokens = tokens_by_team.setdefault(team, {})
        for centre, count in transfers.items():
            tokens[centre] = tokens.get(centre, 0) + count
    if revision >= ledger.revision:
        for team, count in changes.acquired_by_team.items():
            tokens = tokens_by_team.setdefault(team, {})
            unassigned = limit_by_team.get(team, 0) - sum(tokens.values())
            acquired = max(0, min(count, unassigned))
            tokens[data_centre] = tokens.get(data_centre, 0) + acquired
    epochs = {**ledger.epoch_by_centre, data_centre: epoch}
    return Ledger(
        revision=max(revision, ledger.revision),
        epoch_by_centre=epochs,
        tokens_by_team=tokens_by_team,
    )
