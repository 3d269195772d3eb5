"""Single calls to the platform: each is made once and answered by a type."""

import urllib.parse

import attrs
import cattrs
import orjson

from samphiregate.adapters import http
from samphiregate.core import fleet
from samphiregate.core import model
from samphiregate.core import store
from samphiregate import errors

WATCH_MARGIN_MS = 5_000


@attrs.frozen
class StoreResult:
    """How one call to the store ended; the version 0 means no such key."""

    outcome: store.StoreOutcome
    version: int = 0
    value: bytes = b""


UNAVAILABLE = StoreResult(store.StoreOutcome.UNAVAILABLE)
UNKNOWN = StoreResult(store.StoreOutcome.UNKNOWN)


class PlatformCalls:
    """Makes single calls; a context manager that owns its connections.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` of the platform.
    timeout_ms : int
        Longest wait for an answer.
    watch_ms : int
        Time that a watch waits at the platform.
    connections : int
        Connections for calls.
    watches : int
        Connections for watches, of which each holds one.
    """

    def __init__(
        self,
        *,
        endpoint,
        timeout_ms=2_000,
        watch_ms=20_000,
        connections=4,
        watches=16,
    ):
        self.watch_ms = watch_ms
        self._client = http.Client(
            endpoint, connections=connections, timeout_ms=timeout_ms
        )
        self._watch_client = http.Client(
            endpoint,
            connections=watches,
            timeout_ms=watch_ms + WATCH_MARGIN_MS,
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Closes every connection."""
        self._client.close()
        self._watch_client.close()

    def read(self, key):
        """Reads a key.

        Returns
        -------
        StoreResult
            OK, also for an absent key, or UNAVAILABLE.
        """
        return self._read(self._client, _key_path(key))

    def watch(self, key, after_version):
        """Waits until a key is above a version.

        Returns
        -------
        StoreResult
            OK with the newer value; OK with `after_version` if there was
            no change in time; or UNAVAILABLE.
        """
        path = _key_path(key)
        path += f"?after={after_version}&wait_ms={self.watch_ms}"
        return self._read(self._watch_client, path, after_version)

    def compare_and_swap(self, key, expected_version, value):
        """Writes a key if it is at a version; never sent twice.

        Returns
        -------
        StoreResult
            OK, CONFLICT with the current value, UNAVAILABLE when nothing
            changed, or UNKNOWN when the answer was lost.
        """
        headers = {"X-Expected-Version": str(expected_version)}
        try:
            answer = self._client.request(
                "POST", _key_path(key), body=value, headers=headers
            )
        except errors.UnavailableError as error:
            lost = error.ran is not errors.Ran.NO
            return UNKNOWN if lost else UNAVAILABLE
        if answer.status == 200:
            return _result(store.StoreOutcome.OK, answer)
        if answer.status == 412:
            return _result(store.StoreOutcome.CONFLICT, answer)
        if answer.status in (400, 413, 429, 503):
            return UNAVAILABLE
        return UNKNOWN

    def read_fleet(self, after_version=0, data_centre=None):
        """Reads the fleet list.

        Parameters
        ----------
        after_version : int
            Version of the list that the caller has.
        data_centre : str or None
            Leaves out the workers and runners of other data centres.

        Returns
        -------
        tuple of int and FleetListed
            The list's version, and the list, or None if the caller has it.

        Raises
        ------
        UnavailableError
            If the platform does not answer with a whole list.
        """
        query = {"after": after_version}
        if data_centre is not None:
            query["data_centre"] = data_centre
        path = "/fleet?" + urllib.parse.urlencode(query)
        answer = self._client.request("GET", path)
        if answer.status == 304:
            return after_version, None
        if answer.status != 200:
            raise errors.UnavailableError("the platform gives no fleet list")
        return _version(answer), _fleet_from(answer)

    def _read(self, client, path, after_version=0):
        try:
            answer = client.request("GET", path)
        except errors.UnavailableError:
            return UNAVAILABLE
        if answer.status == 200:
            return _result(store.StoreOutcome.OK, answer)
        if answer.status == 304:
            return StoreResult(store.StoreOutcome.OK, after_version)
        if answer.status == 404:
            return StoreResult(store.StoreOutcome.OK)
        return UNAVAILABLE


def _key_path(key):
    return "/kv/" + urllib.parse.quote(key)


def _result(outcome, answer):
    return StoreResult(outcome, _version(answer), answer.body)


def _version(answer):
    return int(answer.headers.get("x-version", 0))


def _fleet_from(answer):
    try:
        document = answer.json()
        entry_vms = _entries(document, "entry_vms", model.EntryVmInfo)
        workers = _entries(document, "workers", model.WorkerInfo)
        runners = _entries(document, "runners", model.RunnerInfo)
    except (orjson.JSONDecodeError, cattrs.BaseValidationError) as error:
        raise errors.UnavailableError(
            "the platform's fleet list is unreadable"
        ) from error
    return fleet.FleetListed(
        entry_vms_by_id={vm.vm_id: vm for vm in entry_vms},
        workers_by_id={worker.worker_id: worker for worker in workers},
        runners_by_id={runner.runner_id: runner for runner in runners},
    )


def _entries(document, kind, entry_class):
    return cattrs.structure(document.get(kind, []), list[entry_class])
