"""The current revision on one VM and the most recent edits."""

from samphiregate.core.configuration import _edits
from samphiregate.core import model

MAX_RECENT_EDITS = 256


class History:
    """A configuration whose revision never decreases.

    Attributes
    ----------
    configuration : Configuration
        The highest revision applied so far.
    """

    def __init__(self):
        self.configuration = model.Configuration()
        self._recent_edits = []
        self._pending_withdrawals = {}

    @property
    def revision(self):
        """The current revision; 0 before the first edit."""
        return self.configuration.revision

    def apply_edits(self, edits):
        """Applies the edits if they follow the current revision.

        Keys that they withdraw are refused at once, even if earlier edits
        are missing, so that a lost message does not delay a withdrawal.

        Returns
        -------
        bool
            Whether all of the edits have been applied.
        """
        newer = [edit for edit in edits if edit.revision > self.revision]
        if not newer:
            return True
        if not _is_contiguous(newer, self.revision):
            self._record_pending_withdrawals(newer)
            return False
        self.configuration = _edits.apply_edits(self.configuration, newer)
        self._recent_edits = [*self._recent_edits, *newer][-MAX_RECENT_EDITS:]
        self._drop_applied_withdrawals()
        return True

    def apply_snapshot(self, configuration):
        """Replaces the configuration by one of a higher revision.

        Returns
        -------
        bool
            Whether it was replaced.
        """
        if configuration.revision <= self.revision:
            return False
        self.configuration = configuration
        self._recent_edits = []
        self._drop_applied_withdrawals()
        return True

    def edits_after(self, revision):
        """Returns the edits after a revision, or None if some are dropped."""
        missing = self.revision - revision
        if missing > len(self._recent_edits):
            return None
        return tuple(self._recent_edits[len(self._recent_edits) - missing :])

    def team_for_key_hash(self, key_hash):
        """Returns the team of a valid key, or None.

        A key is valid if it is not withdrawn and its team is configured.
        """
        record = self.configuration.keys_by_hash.get(key_hash)
        if record is None or record.withdrawn:
            return None
        if key_hash in self._pending_withdrawals:
            return None
        team_exists = record.team in self.configuration.teams_by_name
        return record.team if team_exists else None

    def _record_pending_withdrawals(self, edits):
        for edit in edits:
            for key_hash in edit.withdrawn_keys:
                self._pending_withdrawals[key_hash] = edit.revision

    def _drop_applied_withdrawals(self):
        self._pending_withdrawals = {
            key_hash: revision
            for key_hash, revision in self._pending_withdrawals.items()
            if revision > self.revision
        }


def _is_contiguous(edits, revision):
    """Returns whether the edits directly follow a revision, without a gap."""
    expected = range(revision + 1, revision + 1 + len(edits))
    return [edit.revision for edit in edits] == list(expected)
