"""A store in memory whose swaps fail as a script tells."""

import pathlib
import random

from samphiregate.adapters import platform
from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate.core import store
from samphiregate import lists
from standins import platform as standin

SAMPLES = pathlib.Path("examples/lists")
MANY = 60


class ScriptedCalls:
    """Calls to a store in memory.

    Parameters
    ----------
    script : list of str
        What happens to the next swaps of the head, one word each: ``ok``,
        ``lost`` (took effect), ``dropped`` (took none), ``refused``,
        ``key-edit`` or ``list-edit`` (another operator comes first),
        ``lost-then-many`` (took effect, and many others came after).
    """

    def __init__(self, script=()):
        self.script = list(script)
        self.down = False
        self.stale = False
        self.swaps = 0
        self.snapshots_refused = False
        self.values = standin.KeyValues(
            reads_per_second=10**9,
            writes_per_second=10**9,
            clock_ms=lambda: 0,
        )

    def read(self, key):
        """Reads a key, see `PlatformCalls.read`."""
        if self.down:
            return platform.StoreResult(store.StoreOutcome.UNAVAILABLE)
        stale = self.stale
        self.stale = False
        entry = self.values.read(key, stale=stale)
        return platform.StoreResult(
            store.StoreOutcome.OK, entry.version, entry.value
        )

    def compare_and_swap(self, key, expected_version, value):
        """Writes a key, see `PlatformCalls.compare_and_swap`."""
        if key == configurations.SNAPSHOT_KEY:
            if self.snapshots_refused:
                return platform.StoreResult(store.StoreOutcome.UNAVAILABLE)
            return self._swap(key, expected_version, value)
        self.swaps += 1
        step = self.script.pop(0) if self.script else "ok"
        if self.down or step == "refused":
            return platform.StoreResult(store.StoreOutcome.UNAVAILABLE)
        if step == "key-edit":
            self.edit_by_other(given_keys=(other_key(0),))
        if step == "list-edit":
            self.edit_by_other(teams=(model.Team("newcomers", "trial"),))
        if step == "dropped":
            return platform.StoreResult(store.StoreOutcome.UNKNOWN)
        result = self._swap(key, expected_version, value)
        if step == "lost-then-many":
            for number in range(MANY):
                self.edit_by_other(given_keys=(other_key(number),))
        if step in ("lost", "lost-then-many"):
            return platform.StoreResult(store.StoreOutcome.UNKNOWN)
        return result

    def edit_by_other(self, **changes):
        """Makes an edit as another operator."""
        other = ScriptedCalls()
        other.values = self.values
        editor = make_editor(other)
        editor.write(
            lambda stored: configurations.Edit(
                stored.head.revision + 1,
                f"{stored.head.revision:032x}",
                operator="other",
                **changes,
            )
        )

    def stored(self):
        """Returns what the store holds, read as a newcomer does."""
        calls = ScriptedCalls()
        calls.values = self.values
        return make_editor(calls).read()

    def _swap(self, key, expected_version, value):
        written, entry = self.values.compare_and_swap(
            key, expected_version, value
        )
        if written:
            return platform.StoreResult(store.StoreOutcome.OK, entry.version)
        return platform.StoreResult(
            store.StoreOutcome.CONFLICT, entry.version, entry.value
        )


def make_editor(calls):
    """Returns an editor that waits for nothing."""
    return lists.ConfigurationEditor(
        calls, wait=lambda delay_ms: None, random_state=random.Random(1)
    )


def other_key(number):
    """Returns the record of another operator's key."""
    return model.KeyRecord(f"{number:064x}", f"{number:012x}", "rangers")


def sample_texts():
    """Returns the texts of the sample lists, keyed by file name."""
    return {
        name: (SAMPLES / name).read_text(encoding="utf-8")
        for name in (lists.TEAMS_FILE, lists.PLANS_FILE)
    }


def parse_samples():
    """Returns the sample lists."""
    texts = sample_texts()
    return lists.parse_lists(texts[lists.TEAMS_FILE], texts[lists.PLANS_FILE])
