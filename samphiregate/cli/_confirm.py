"""Waiting until a revision is in force on every entry VM."""

import attrs
import gevent.event
from gevent import pool

from samphiregate.cli import _entry
from samphiregate import errors
from samphiregate import timers

ASKED_AT_A_TIME = 32
ASK_TIMEOUT_MS = 2_000
ASK_INTERVAL_MS = 200


@attrs.frozen
class Confirmation:
    """Which entry VMs have a revision in force.

    Parameters
    ----------
    revision : int
        The revision waited for, or a higher one.
    confirmed, unconfirmed : tuple of str
        Ids of entry VMs.
    """

    revision: int
    confirmed: tuple[str, ...]
    unconfirmed: tuple[str, ...]


def wait_in_force(calls, revision, wait_ms):
    """Asks the entry VMs of the fleet list until all have a revision.

    Parameters
    ----------
    calls : PlatformCalls
        Reads the fleet list.
    revision : int
        The revision.
    wait_ms : int
        Longest wait.

    Returns
    -------
    Confirmation
    """
    now_ms = timers.TimerService().now_ms
    deadline_ms = now_ms() + wait_ms
    confirmed = set()
    while True:
        vms_by_id = list_entry_vms(calls)
        asked = [vms_by_id[vm_id] for vm_id in vms_by_id.keys() - confirmed]
        for vm, status in ask_all(asked):
            if status is not None and status.get("revision", 0) >= revision:
                confirmed.add(vm.vm_id)
        unconfirmed = vms_by_id.keys() - confirmed
        if not unconfirmed or now_ms() >= deadline_ms:
            return Confirmation(
                revision, tuple(sorted(confirmed)), tuple(sorted(unconfirmed))
            )
        gevent.event.Event().wait(ASK_INTERVAL_MS / 1000)


def list_entry_vms(calls):
    """Returns the entry VMs of the fleet list, by id."""
    _version, listed = calls.read_fleet()
    return listed.entry_vms_by_id


def ask_all(entry_vms):
    """Asks entry VMs for their status, many at a time.

    Returns
    -------
    list of tuple
        Each VM with its status document, or None if it gave none.
    """
    asking = pool.Pool(ASKED_AT_A_TIME)
    return list(zip(entry_vms, asking.map(_ask, entry_vms), strict=True))


def _ask(entry_vm):
    if not entry_vm.http_endpoint:
        return None
    try:
        with _entry.EntryClient(
            entry_vm.http_endpoint, timeout_ms=ASK_TIMEOUT_MS
        ) as client:
            return client.call("GET", "/v1/status")
    except errors.SamphiregateError:
        return None
