"""The state of an entry VM, for its metrics."""

import attrs


@attrs.frozen
class VmState:
    """The state of an entry VM, for its metrics.

    Parameters
    ----------
    lease_left_ms : int
        Remaining time of the VM's lease; 0 without one.
    owns_cell : bool
        Whether it serves the cell; the three counts below are 0 or empty
        otherwise.
    jobs : int
    waiting_by_reason, unreachable_by_service : dict
        Counts of tasks, and of endpoints.
    configuration_version : int
        0 without one.
    configuration_age_ms : int
        Time since the last answered request for it was sent to the store.
    run_gaps : dict
        Long-running tasks without a run and those restarted, as in
        `RunGaps.describe`; empty unless it serves the cell.
    runs_lost_by_reason : dict
        Runs that were lost with their endpoint since it owns the cell.
    drained_data_centres : frozenset of str
        Those that this VM knows to be drained.
    runs_by_drained : dict
        Runs left in each; empty unless it serves the cell.
    place_waits_by_outcome : dict
        Waits for a place near data or gang since it owns the cell: begun,
        paid and given up.
    preemptions : dict
        Preempted runs, as in `PreemptionCounts.describe`; empty unless it
        serves the cell.
    account_shares : dict
        By service and account, as in `FairShares.describe`.
    """

    lease_left_ms: int
    owns_cell: bool
    jobs: int
    waiting_by_reason: dict
    unreachable_by_service: dict
    configuration_version: int
    configuration_age_ms: int
    run_gaps: dict = attrs.field(factory=dict)
    runs_lost_by_reason: dict = attrs.field(factory=dict)
    drained_data_centres: frozenset = frozenset()
    runs_by_drained: dict = attrs.field(factory=dict)
    place_waits_by_outcome: dict = attrs.field(factory=dict)
    preemptions: dict = attrs.field(factory=dict)
    account_shares: dict = attrs.field(factory=dict)


def describe(
    *,
    cell,
    lease_until_ms,
    configuration,
    configuration_sync_ms,
    now_ms,
    drained_data_centres=frozenset(),
):
    """Returns the `VmState` of a VM.

    Parameters
    ----------
    cell : Cell or None
        The cell that it owns and serves.
    lease_until_ms : int
        Until when its lease is valid.
    configuration : SiteConfiguration or None
    configuration_sync_ms : int
        When the last answered request for it was sent to the store.
    now_ms : int
    drained_data_centres : frozenset of str
    """
    load = {} if cell is None else cell.load()
    return VmState(
        lease_left_ms=max(lease_until_ms - now_ms, 0),
        owns_cell=cell is not None,
        jobs=0 if cell is None else len(cell.cell_state.entry_by_id),
        waiting_by_reason=load.get("waits_for", {}),
        unreachable_by_service=load.get("unreachable", {}),
        configuration_version=configuration.version if configuration else 0,
        configuration_age_ms=now_ms - configuration_sync_ms,
        run_gaps=load.get("run_gaps", {}),
        runs_lost_by_reason=load.get("runs_lost", {}),
        drained_data_centres=drained_data_centres,
        runs_by_drained=load.get("runs_in_drained", {}),
        place_waits_by_outcome=load.get("place_waits", {}),
        preemptions=load.get("preemptions", {}),
        account_shares=load.get("account_shares", {}),
    )
