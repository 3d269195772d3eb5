"""Reading the configuration from the store and writing edits to it."""

import random

import attrs
import gevent.event

from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate.core import store
from samphiregate import errors

ATTEMPTS = 6
RACES = 8
RETRY_MIN_MS = 100
RETRY_MAX_MS = 3_200


@attrs.frozen
class StoredConfiguration:
    """What the store holds.

    Parameters
    ----------
    version : int
        Version of the head's key; an edit swaps against it.
    head : Head
        The head document.
    configuration : Configuration
        The configuration of the head's revision.
    """

    version: int
    head: configurations.Head
    configuration: model.Configuration


class RaceLostError(errors.SamphiregateError):
    """Other edits came first, so that this one was not made.

    Parameters
    ----------
    edits : tuple of Edit
        The other edits, as far as the store still tells them.
    """

    def __init__(self, detail, edits):
        super().__init__(errors.ErrorCode.CONFLICT, detail)
        self.edits = tuple(edits)


class ConfigurationEditor:
    """Makes edits by compare-and-swap.

    Parameters
    ----------
    calls : PlatformCalls
        Makes single calls to the platform.
    wait : callable
        ``wait(delay_ms)`` passes the time between two attempts.
    random_state : random.Random
        Source of jitter.
    """

    def __init__(self, calls, *, wait=None, random_state=None):
        self._calls = calls
        self._wait = wait or _wait
        self._random = random_state or random.Random()

    def read(self):
        """Returns the `StoredConfiguration`.

        Raises
        ------
        UnavailableError
            If the store gives no consistent configuration in time.
        """
        for attempt in range(ATTEMPTS):
            result = self._calls.read(configurations.HEAD_KEY)
            if result.outcome is store.StoreOutcome.OK:
                stored = self._stored_from(result)
                if stored is not None:
                    return stored
            self._wait_after(attempt)
        raise errors.UnavailableError("the store can't be read")

    def write(self, make_edit):
        """Makes one edit, and again on top of others that came first.

        Parameters
        ----------
        make_edit : callable
            ``make_edit(stored)`` returns the `Edit` to make, or None if
            there is nothing to change. It is called anew, for the same
            edit id, after each lost race.

        Returns
        -------
        Edit or None
            The edit that is accepted.

        Raises
        ------
        RaceLostError
            If others came first time and again.
        UnavailableError
            If the store took no edit; nothing changed.
        SamphiregateError
            With `ErrorCode.OUTCOME_UNKNOWN` if the answer was lost and
            the store does not tell what became of the edit.
        """
        stored = self.read()
        for _race in range(RACES):
            edit = make_edit(stored)
            if edit is None:
                return None
            value = self._next_head(stored, edit)
            conflict = self._swap(stored, edit, value)
            if conflict is None:
                return edit
            stored = self._stored_from(conflict) or self.read()
        raise RaceLostError(
            f"{RACES} races lost in a row", stored.head.edits[-RACES:]
        )

    def _stored_from(self, result):
        head = configurations.decode_head(result.value)
        configuration = self._configuration_of(head)
        if configuration is None:
            return None
        return StoredConfiguration(result.version, head, configuration)

    def _configuration_of(self, head):
        configuration = model.Configuration()
        if head.snapshot_revision:
            result = self._calls.read(configurations.SNAPSHOT_KEY)
            if result.outcome is not store.StoreOutcome.OK:
                return None
            configuration = configurations.decode_configuration(result.value)
        if configuration.revision < head.snapshot_revision:
            return None
        configuration = configurations.apply_edits(configuration, head.edits)
        # A snapshot above the head means that the head read was stale.
        return (
            configuration if configuration.revision == head.revision else None
        )

    def _next_head(self, stored, edit):
        head = stored.head
        if configurations.needs_snapshot(head):
            head = self._write_snapshot(stored)
        value = configurations.encode(configurations.append_edit(head, edit))
        after = configurations.apply_edit(stored.configuration, edit)
        whole = configurations.encode(after)
        largest = configurations.MAX_DOCUMENT_BYTES
        if max(len(value), len(whole)) > largest:
            raise errors.BadInputError(
                f"the store holds documents of up to {largest} bytes, and "
                f"this edit leads to {max(len(value), len(whole))}"
            )
        return value

    def _write_snapshot(self, stored):
        """Writes the accepted revision as a snapshot, if it can be done."""
        present = self._calls.read(configurations.SNAPSHOT_KEY)
        if present.outcome is not store.StoreOutcome.OK:
            return stored.head
        written = configurations.decode_configuration(present.value)
        if written.revision < stored.head.revision:
            value = configurations.encode(stored.configuration)
            result = self._calls.compare_and_swap(
                configurations.SNAPSHOT_KEY, present.version, value
            )
            if result.outcome is not store.StoreOutcome.OK:
                return stored.head
            written = stored.configuration
        return configurations.with_snapshot(stored.head, written.revision)

    def _swap(self, stored, edit, value):
        """Returns None once the edit is accepted, or the conflict's result."""
        answer_lost = False
        for attempt in range(ATTEMPTS):
            result = self._calls.compare_and_swap(
                configurations.HEAD_KEY, stored.version, value
            )
            if result.outcome is store.StoreOutcome.OK:
                return None
            if result.outcome is store.StoreOutcome.CONFLICT:
                accepted = self._is_accepted(result, edit, answer_lost)
                return None if accepted else result
            answer_lost |= result.outcome is store.StoreOutcome.UNKNOWN
            self._wait_after(attempt)
        if answer_lost:
            raise _unknown(edit)
        raise errors.UnavailableError("the store takes no edit; none was made")

    def _is_accepted(self, conflict, edit, answer_lost):
        """Tells an own edit whose answer was lost from a lost race."""
        head = configurations.decode_head(conflict.value)
        if configurations.find_edit(head, edit.edit_id) is not None:
            return True
        oldest = head.edits[0].revision if head.edits else head.revision + 1
        if not answer_lost or oldest <= edit.revision:
            return False
        # The head no longer tells; what the edit was for may still do.
        stored = self._stored_from(conflict) or self.read()
        if configurations.reflects_edit(stored.configuration, edit):
            return True
        raise _unknown(edit)

    def _wait_after(self, attempt):
        longest_ms = min(RETRY_MIN_MS * 2**attempt, RETRY_MAX_MS)
        self._wait(longest_ms * self._random.uniform(0.5, 1.0))


def _unknown(edit):
    return errors.SamphiregateError(
        errors.ErrorCode.OUTCOME_UNKNOWN,
        "the store's answer was lost; look for the edit "
        f"{edit.edit_id} in the history",
        ran=errors.Ran.UNKNOWN,
    )


def _wait(delay_ms):
    gevent.event.Event().wait(delay_ms / 1000)
