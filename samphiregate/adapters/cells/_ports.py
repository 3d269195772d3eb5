"""What the platform has to offer so that cells can be run on it."""

import typing

import attrs

from samphiregate.core import cells
from samphiregate import errors


@attrs.frozen
class StoreItem:
    """A key of the store and its value.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        Of its last change.
    created_revision : int
    """

    key: str
    value: bytes
    revision: int
    created_revision: int


@attrs.frozen
class StoreChange:
    """A change of a key; `item` is None where it was removed."""

    key: str
    revision: int
    item: StoreItem | None


@attrs.frozen
class StoreWrite:
    """A key to be set; `lease_id` 0 keeps it until it is removed."""

    key: str
    value: bytes
    lease_id: int = 0


class ConflictError(errors.SamphiregateError):
    """A condition of a transaction does not hold; nothing was done.

    Parameters
    ----------
    revision_by_key : dict
        Present revisions of the keys of the conditions; 0 for none.
    """

    def __init__(self, revision_by_key):
        super().__init__(
            errors.ErrorCode.CONFLICT, "a condition does not hold"
        )
        self.revision_by_key = revision_by_key


class HistoryLostError(errors.SamphiregateError):
    """Changes after the revision asked for are not available any more."""

    def __init__(self):
        super().__init__(
            errors.ErrorCode.NOT_FOUND, "the history is not available"
        )


class LeaseEndedError(errors.SamphiregateError):
    """The lease has ended, or never was."""

    def __init__(self):
        super().__init__(errors.ErrorCode.NOT_FOUND, "the lease has ended")


class Store(typing.Protocol):
    """A linearizable key-value store with leases and watches.

    Every call raises `UnavailableError` when there is no answer in time;
    `ran` then says whether the call may have taken effect.
    """

    def get(self, key):
        """Returns the `StoreItem` of a key, or None."""

    def list(self, prefix):
        """Returns all items below a prefix, and a revision to watch from."""

    def watch(self, prefix, after_revision, wait_ms):
        """Waits for changes below a prefix.

        Returns
        -------
        tuple
            List of `StoreChange`, and the revision to continue from.

        Raises
        ------
        HistoryLostError
        """

    def commit(self, *, expected, writes, removals=()):
        """Writes and removes keys, all or none.

        Parameters
        ----------
        expected : dict
            Revision by key; 0 for a key that must not exist.
        writes : sequence of StoreWrite
        removals : sequence of str

        Returns
        -------
        int
            The revision of the change.

        Raises
        ------
        ConflictError
        LeaseEndedError
        """

    def grant_lease(self, ttl_ms):
        """Returns the id of a new lease and its time to live."""

    def renew_lease(self, lease_id):
        """Renews a lease; raises `LeaseEndedError`."""

    def end_lease(self, lease_id):
        """Ends a lease; its keys are removed."""


class Endpoints(typing.Protocol):
    """Orders to endpoints; each carries the owner's epoch."""

    def start(self, action, epoch):
        """Carries out a `StartTask`; returns its `StartOutcome`."""

    def stop(self, action, epoch):
        """Carries out a `StopTask`; returns whether it was confirmed."""

    def poll(self, action, epoch, sent_ms):
        """Carries out a `Look`; returns `EndpointLooked` or `LookFailed`."""


class PolicyService(typing.Protocol):
    """Asks which endpoints may run a step."""

    def ask(self, job_id, occurrence, step, endpoint_ids, timeout_ms):
        """Returns tickets by endpoint id, and how long they are valid.

        Raises
        ------
        UnavailableError
        """


@attrs.frozen
class Route:
    """Where requests of a host and path prefix go.

    Parameters
    ----------
    host, prefix : str
    queue : Queue
    open_to_all : bool
        Whether no key is needed.
    """

    host: str
    prefix: str
    queue: cells.Queue
    open_to_all: bool


@attrs.frozen
class SiteConfiguration:
    """One version of what the operators configured.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    accounts : tuple of Account
    account_by_key_hash : dict
        Name of the client account that a key stands for.
    """

    version: int
    routes: tuple[Route, ...]
    accounts: tuple[cells.Account, ...]
    account_by_key_hash: dict


class Decoders(typing.Protocol):
    """Reads what others write into the store."""

    configuration_key: str
    endpoints_prefix: str

    def configuration(self, value):
        """Decodes a `SiteConfiguration`; raises `BadInputError`."""

    def endpoint(self, key, value):
        """Decodes an `EndpointListed`; raises `BadInputError`."""
