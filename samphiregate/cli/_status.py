"""Commands that show what entry VMs do."""

import attrs
import cappa

from samphiregate.cli import _confirm
from samphiregate.cli import _entry
from samphiregate.cli import _exit_codes
from samphiregate.cli import _lists
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _run


@cappa.command(
    name="status",
    help="Shows one entry VM (--entry) or all of the fleet (--platform).",
)
@attrs.frozen
class Status:
    """``status``."""


@cappa.command(name="queues", help="Shows the queues of requests.")
@attrs.frozen
class Queues:
    """``queues``."""


@cappa.command(
    name="histograms",
    help="Shows wait and run times by team and class.",
)
@attrs.frozen
class Histograms:
    """``histograms``."""


@_run.run.register
def _run_status(command: Status, root):
    if root.entry:
        return _show(root, "/v1/status")
    with _lists.open_calls(root) as calls:
        vms_by_id = _confirm.list_entry_vms(calls)
    asked = [vms_by_id[vm_id] for vm_id in sorted(vms_by_id)]
    rows = [
        {
            "vm_id": vm.vm_id,
            "data_centre": vm.data_centre,
            "http_endpoint": vm.http_endpoint,
            "leaving": vm.leaving,
            "answers": status is not None,
            "revision": (status or {}).get("revision"),
        }
        for vm, status in _confirm.ask_all(asked)
    ]
    _output.show(rows, root.output)
    if all(row["answers"] for row in rows):
        return _exit_codes.ExitCode.OK
    return _exit_codes.ExitCode.UNAVAILABLE


@_run.run.register
def _run_queues(command: Queues, root):
    return _show(root, "/v1/queues")


@_run.run.register
def _run_histograms(command: Histograms, root):
    return _show(root, "/v1/histograms")


def _show(root, path):
    with _entry.EntryClient(
        _options.endpoint("entry", root.entry),
        key=root.key,
        timeout_ms=root.timeout_ms,
    ) as entry:
        shown = entry.call("GET", path)
    _output.show(_output.rows_of(shown), root.output)
    return _exit_codes.ExitCode.OK
