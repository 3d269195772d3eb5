"""Interfaces that a platform implements to run cells."""

import typing

import attrs

from samphiregate.core import cells
from samphiregate import errors


@attrs.frozen
class StoreItem:
    """A key in the store and its value.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        Store revision of the last change.
    created_revision : int
        Store revision at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int


@attrs.frozen
class StoreChange:
    """A change of a key; `item` is None if the key was removed."""

    key: str
    revision: int
    item: StoreItem | None


@attrs.frozen
class StoreWrite:
    """A key to set; with `lease_id` 0, it stays until it is removed."""

    key: str
    value: bytes
    lease_id: int = 0


class ConflictError(errors.SamphiregateError):
    """A condition of a transaction does not hold; nothing was written.

    Parameters
    ----------
    revision_by_key : dict
        Current revision of each key in the conditions; 0 if it does not
        exist.
    """

    def __init__(self, revision_by_key):
        super().__init__(
            errors.ErrorCode.CONFLICT,
            "a key does not have its expected revision; nothing was written",
        )
        self.revision_by_key = revision_by_key


class HistoryLostError(errors.SamphiregateError):
    """Changes after the requested revision are no longer available."""

    def __init__(self):
        super().__init__(
            errors.ErrorCode.NOT_FOUND,
            "changes after the requested revision are no longer available",
        )


class LeaseEndedError(errors.SamphiregateError):
    """The lease has ended, or never existed."""

    def __init__(self):
        super().__init__(errors.ErrorCode.NOT_FOUND, "the lease has ended")


class RejectedWriteError(errors.UnavailableError):
    """The store rejects a write as it is, and has not carried it out.

    Parameters
    ----------
    detail : str
    is_too_large : bool
        Whether a value is larger than the store takes.
    """

    def __init__(self, detail, *, is_too_large):
        super().__init__(detail)
        self.is_too_large = is_too_large


class Store(typing.Protocol):
    """A linearizable key-value store with leases and watches.

    Every call raises `UnavailableError` if there is no answer in time; its
    `ran` says whether the call may have taken effect.
    """

    def get(self, key):
        """Returns the `StoreItem` of a key, or None if it does not exist."""

    def list(self, prefix):
        """Returns all items under a prefix, and a revision to watch from."""

    def watch(self, prefix, after_revision, wait_ms):
        """Waits up to `wait_ms` for changes under a prefix.

        Returns
        -------
        tuple
            List of `StoreChange`, and the revision to continue from.

        Raises
        ------
        HistoryLostError
            When changes after `after_revision` are no longer available.
        """

    def commit(self, *, expected, writes, removals=()):
        """Writes and removes keys in one transaction.

        Parameters
        ----------
        expected : dict
            Required revision by key; 0 for a key that must not exist.
        writes : sequence of StoreWrite
        removals : sequence of str

        Returns
        -------
        int
            The revision of the change.

        Raises
        ------
        ConflictError
            When a key does not have its expected revision.
        LeaseEndedError
            When the lease of a written key has ended.
        RejectedWriteError
            When the store would reject it again.
        """

    def grant_lease(self, ttl_ms):
        """Returns the id of a new lease and its time to live in ms."""

    def renew_lease(self, lease_id):
        """Renews a lease; raises `LeaseEndedError` if it has ended."""

    def end_lease(self, lease_id):
        """Ends a lease, which removes its keys."""


class Endpoints(typing.Protocol):
    """Calls to endpoints; each carries the owner's epoch."""

    def start(self, action, epoch):
        """Carries out a `StartTask`; returns its `StartResult`."""

    def stop(self, action, epoch):
        """Carries out a `StopTask`; returns whether it was confirmed."""

    def poll(self, action, epoch, sent_ms):
        """Carries out a `PollEndpoint`.

        Returns
        -------
        EndpointPolled or PollFailed
        """


class PolicyService(typing.Protocol):
    """Client of the policy service.

    The service decides which endpoints may run a step.
    """

    def request_tickets(
        self, job_id, occurrence, step, endpoint_ids, timeout_ms
    ):
        """Returns tickets by endpoint id, and their validity in ms.

        Raises
        ------
        UnavailableError
        """


@attrs.frozen
class Route:
    """The queue for requests to a host and path prefix.

    Parameters
    ----------
    host, prefix : str
    queue : Queue
    open_to_all : bool
        Whether requests need no key.
    """

    host: str
    prefix: str
    queue: cells.Queue
    open_to_all: bool


@attrs.frozen
class SiteConfiguration:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
    routes : tuple of Route
    accounts : tuple of Account
    account_by_key_hash : dict
        Name of the client account by hash of its key.
    """

    version: int
    routes: tuple[Route, ...]
    accounts: tuple[cells.Account, ...]
    account_by_key_hash: dict


class Decoders(typing.Protocol):
    """Decodes the configuration and endpoint entries in the store.

    Attributes
    ----------
    configuration_key : str
    operations_prefix : str
        Of all keys that operators write; `configuration_key` begins with it.
    endpoints_prefix : str
    """

    configuration_key: str
    operations_prefix: str
    endpoints_prefix: str

    def configuration(self, value):
        """Decodes a `SiteConfiguration`; raises `BadInputError`."""

    def drained_data_centre(self, key):
        """Returns the data centre whose drain a key requests, or None."""

    def endpoint(self, key, value):
        """Decodes an `EndpointRegistered`; raises `BadInputError`."""
