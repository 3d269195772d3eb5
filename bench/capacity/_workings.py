"""Works out the figures at the design's size from the measured slopes."""

import attrs

NOT_MEASURED = "not measured"
CORE_BUDGET_PERCENT = 1.5
MEMORY_BUDGET_MIB = 64.0
LINK_BUDGET_BYTES = 10_000.0
FORCE_BUDGET_MS = 9_000.0
URGENT_BUDGET_MS = 4_100.0
STORE_BUDGET_CALLS = 2_000.0
MS_PER_PERCENT = 10.0
KIB_PER_MIB = 1_024


@attrs.frozen
class Row:
    """One line of the table.

    Parameters
    ----------
    quantity : str
        What is worked out, with its unit.
    slopes : tuple of str
        Names of the slopes that it comes from.
    at : str
        The size.
    result : float or None
        None if a slope is missing.
    budget : float or None
        None where there is none.
    """

    quantity: str
    slopes: tuple[str, ...]
    at: str
    result: float | None
    budget: float | None = None

    @property
    def headroom(self):
        """Budget over result as text; says where it is not met."""
        if self.result is None or self.budget is None:
            return ""
        if self.result > self.budget:
            return f"**not met**, {self.result / self.budget:.1f} x"
        if not self.result:
            return "all"
        return f"{self.budget / self.result:.1f} x"


class Workings:
    """Works out rows from slopes.

    Parameters
    ----------
    slopes_by_name : dict of str to Slope
        What was measured.
    size : Size
        The design's size.
    """

    def __init__(self, slopes_by_name, size):
        self.slopes_by_name = slopes_by_name
        self.size = size

    def rows(self):
        """Returns all rows."""
        return [
            *self._memory_rows(),
            *self._core_rows(),
            *self._link_rows(),
            self._summary_row(),
            *self._list_rows(),
            *self._change_rows(),
            *self._work_rows(),
        ]

    def _row(self, quantity, names, at, work_out, budget=None):
        if any(name not in self.slopes_by_name for name in names):
            return Row(quantity, tuple(names), at, None, budget)
        slopes = [self.slopes_by_name[name] for name in names]
        return Row(quantity, tuple(names), at, work_out(*slopes), budget)

    def _memory_rows(self):
        size = self.size
        parts = (
            ("machines, KB, by workers", size.workers_a_vm, "owned workers"),
            ("machines, KB, by running tasks", size.tasks_a_vm, "tasks"),
            ("machines, KB, by queued jobs", size.jobs_a_vm, "shown jobs"),
            ("machines, KB, by copies", size.copies_a_vm, "copies"),
            ("machines, KB, by teams", size.teams, "teams and keys"),
        )
        rows = [
            self._row(
                f"memory of {what}, MiB",
                (name,),
                f"{count:,.0f}",
                lambda slope, count=count: (
                    slope.gradient * count / KIB_PER_MIB
                ),
            )
            for name, count, what in parts
        ]
        names = ("daemon idle, MiB resident", *(name for name, *_ in parts))
        total = self._row(
            "resident memory of a daemon, MiB",
            names,
            "one entry VM",
            lambda base, *slopes: (
                base.base
                + sum(
                    slope.gradient * count / KIB_PER_MIB
                    for slope, (_name, count, _what) in zip(slopes, parts)
                )
            ),
            MEMORY_BUDGET_MIB,
        )
        return [*rows, total]

    def _core_rows(self):
        size = self.size
        return [
            self._row(
                "control, % of a core, daemon with its workers",
                ("daemon idle, % of a core",),
                f"{size.workers_a_vm:.0f} owned workers",
                lambda slope: slope.at(size.workers_a_vm),
                CORE_BUDGET_PERCENT,
            ),
            self._row(
                "control, % of a core, running services' tasks",
                ("machines with services, ms a second",),
                f"{size.tasks_a_vm:.0f} tasks",
                lambda slope: (
                    slope.gradient * size.tasks_a_vm / MS_PER_PERCENT
                ),
                CORE_BUDGET_PERCENT,
            ),
            self._row(
                "control, % of a core, machines with their peers",
                ("machines idle, ms a second, by entry VMs",),
                f"{size.entry_vms} entry VMs, no worker",
                lambda slope: slope.points[-1].y / MS_PER_PERCENT,
                CORE_BUDGET_PERCENT,
            ),
        ]

    def _link_rows(self):
        size = self.size
        at = f"{size.entry_vms} entry VMs"
        return [
            self._row(
                f"control, {kind} bytes a second of a VM, both ways",
                (f"control, {kind} bytes a second sent and received",),
                at,
                lambda slope: slope.points[-1].y,
                LINK_BUDGET_BYTES,
            )
            for kind in ("mean", "largest")
        ] + [
            self._row(
                "control, messages a second sent by a VM",
                ("control, messages a second sent",),
                at,
                lambda slope: slope.points[-1].y,
            )
        ]

    def _summary_row(self):
        size = self.size
        messages = 2 * (size.vms_a_centre - 1)
        return self._row(
            "summaries of room at full load, bytes a second, both ways",
            ("one summary of room, bytes on a link",),
            f"32 changed teams, {size.vms_a_centre:.0f} VMs, one a second",
            lambda slope: slope.at(32) * messages,
            LINK_BUDGET_BYTES,
        )

    def _list_rows(self):
        size = self.size
        workers = size.workers / size.data_centres
        per_day = 2 * (size.failures_a_day + size.replacements_a_day)
        at = f"{workers:,.0f} workers, {per_day:,} changes of the list a day"
        return [
            self._row(
                "reading the list of machines whole, bytes a second",
                ("the list of machines, bytes",),
                at,
                lambda slope: slope.at(workers) * per_day / 86_400,
                LINK_BUDGET_BYTES,
            ),
            self._row(
                "taking in the list, % of a core",
                ("machines, ms to take in the list",),
                at,
                lambda slope: (
                    slope.at(workers) * per_day / 86_400 / MS_PER_PERCENT
                ),
                CORE_BUDGET_PERCENT,
            ),
        ]

    def _change_rows(self):
        size = self.size
        per_day = size.failures_a_day + size.replacements_a_day
        return [
            self._row(
                "a change in force on all VMs, ms, virtual time",
                ("a change in force on all VMs, longest ms",),
                f"{size.entry_vms} entry VMs",
                lambda slope: max(point.y for point in slope.points),
                FORCE_BUDGET_MS,
            ),
            self._row(
                "a change in force on all VMs, ms, real processes",
                ("change in force on 6 VMs, ms after the store took it",),
                "6 entry VMs",
                lambda slope: max(point.y for point in slope.points),
                FORCE_BUDGET_MS,
            ),
            self._row(
                "store calls a second for the configuration",
                ("configuration, store calls a second of the fleet",),
                f"{size.changes_a_day:,} changes a day",
                lambda slope: slope.points[-1].y,
                STORE_BUDGET_CALLS,
            ),
            self._row(
                "store calls a second for failures and replacements",
                ("store calls of the data centre for one VM that fails",),
                f"{per_day:,} a day",
                lambda slope: slope.at(size.vms_a_centre) * per_day / 86_400,
                STORE_BUDGET_CALLS,
            ),
            self._row(
                "takeover after kill -9, ms",
                ("takeover after kill -9, ms until all shards are owned",),
                "3 entry VMs a data centre",
                lambda slope: max(point.y for point in slope.points),
            ),
        ]

    def _work_rows(self):
        size = self.size
        return [
            self._row(
                "decision for one start, us",
                ("decision, median, us",),
                f"{size.workers / size.data_centres:,.0f} workers",
                lambda slope: slope.at(size.workers / size.data_centres),
            ),
            self._row(
                "work of starts, % of a core, machines alone",
                ("machines, ms a task",),
                f"{size.starts_a_vm:.0f} starts a second",
                lambda slope: (
                    slope.at(size.workers_a_vm)
                    * size.starts_a_vm
                    / MS_PER_PERCENT
                ),
                100.0,
            ),
            self._row(
                "work of starts, % of a core, real daemons",
                ("ms of daemons a task",),
                f"{size.starts_a_vm:.0f} starts a second",
                lambda slope: (
                    slope.points[-1].y * size.starts_a_vm / MS_PER_PERCENT
                ),
                100.0,
            ),
            self._row(
                "work of requests, ms of processor time each, one VM",
                ("requests on 1 VM(s), ms of daemons a request",),
                "highest offered rate",
                lambda slope: slope.points[-1].y,
            ),
        ]


def markdown(rows, slopes_by_name):
    """Returns the table as Markdown."""
    lines = [
        "| quantity | slope (points; per unit + base; spread) | at | result"
        " | budget | headroom |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        result = NOT_MEASURED if row.result is None else f"{row.result:,.4g}"
        budget = "" if row.budget is None else f"{row.budget:,.6g}"
        told = "; ".join(
            _told(name, slopes_by_name.get(name)) for name in row.slopes
        )
        cells = (row.quantity, told, row.at, result, budget, row.headroom)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _told(name, slope):
    if slope is None:
        return f"{name}: {NOT_MEASURED}"
    return (
        f"{name} ({len(slope.points)}; {slope.gradient:.4g} +"
        f" {slope.base:.4g}; {slope.spread_percent:.0f} %)"
    )


def markdown_of_slopes(slopes):
    """Returns a table of all slopes with their points as Markdown."""
    lines = [
        "| slope | against | points | line | spread |",
        "|---|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{p.x:g}: {p.y:.4g}" for p in slope.points)
        line = f"{slope.base:.4g} + {slope.gradient:.4g} x"
        spread = f"{slope.spread_percent:.0f} %"
        cells = (slope.name, slope.size, points, line, spread)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"
