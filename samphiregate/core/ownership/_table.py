"""Table of the shard owners of one data centre."""

import orjson
import xxhash

from samphiregate.core import fleet
from samphiregate.core.ownership import _messages

NO_OWNER = fleet.ShardEntry(owner="", epoch=0)


class ShardTable:
    """Entries by shard number; only a higher epoch replaces an entry.

    Parameters
    ----------
    data_centre : str
        Data centre of the shards.
    entry_by_number : dict or None
        Initial entries, keyed by shard number.
    """

    def __init__(self, *, data_centre, entry_by_number=None):
        self.data_centre = data_centre
        self.entry_by_number = dict(entry_by_number or {})

    def entry(self, number):
        """Returns the entry of a shard; `NO_OWNER` if there is none."""
        return self.entry_by_number.get(number, NO_OWNER)

    def newer_entries(self, entry_by_number):
        """Returns the given entries that have a higher epoch than here."""
        return {
            number: entry
            for number, entry in entry_by_number.items()
            if entry.epoch > self.entry(number).epoch
        }

    def digest(self):
        """Returns a `TableDigest` of the entries."""
        entries = sorted(self.entry_by_number.items())
        text = "|".join(f"{n}:{e.owner}:{e.epoch}" for n, e in entries)
        return _messages.TableDigest(
            data_centre=self.data_centre,
            epoch_sum=sum(entry.epoch for _, entry in entries),
            checksum=xxhash.xxh32_intdigest(text.encode()),
        )

    def to_message(self, entry_by_number=None):
        """Returns a message with the given entries, or with all if None."""
        if entry_by_number is None:
            entry_by_number = self.entry_by_number
        return _messages.ShardTableNews(
            data_centre=self.data_centre,
            records=tuple(
                _messages.ShardRecord(number, entry.owner, entry.epoch)
                for number, entry in sorted(entry_by_number.items())
            ),
        )


def encode(entry_by_number):
    """Returns the value to store for a table.

    Parameters
    ----------
    entry_by_number : dict
        `ShardEntry` records, keyed by shard number.

    Returns
    -------
    bytes
    """
    lines = [
        [number, entry.owner, entry.epoch]
        for number, entry in sorted(entry_by_number.items())
    ]
    return orjson.dumps({"shards": lines})


def decode(value):
    """Returns the entries of a stored value; none if it is empty."""
    if not value:
        return {}
    return {
        number: fleet.ShardEntry(owner=owner, epoch=epoch)
        for number, owner, epoch in orjson.loads(value)["shards"]
    }
