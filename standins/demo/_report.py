"""The demo's table of results."""

import attrs
from rich import console
from rich import table

from samphiregate import lists
from standins.demo import _shares
from standins import load

OPEN_QUEUE_WEIGHT = 1.0
EXPECTED_STATES = {
    "service": "running",
    "batch": "succeeded",
    "gang": "succeeded",
}


@attrs.frozen
class JobResult:
    """How a job of the demo went."""

    job: object
    state: str
    shown: dict
    seconds: float


@attrs.define
class Report:
    """Collects the results of loads and jobs."""

    results: list = attrs.field(factory=list)
    jobs: list = attrs.field(factory=list)
    peak_by_team: dict = attrs.field(factory=dict)
    plan_by_team: dict = attrs.field(factory=dict)
    waits_by_key: dict = attrs.field(factory=dict)

    def take_plans(self, directory):
        """Reads the plan of each team from the operators' files."""
        read = lists.read_lists(directory)
        self.plan_by_team = {
            team.name: read.plans_by_name[team.plan]
            for team in read.teams_by_name.values()
        }

    def take_waits(self, site):
        """Keeps the histograms of waits of the VM with the most, by key.

        A key is a team and a class of work.
        """
        for vm in site.vms_by_id.values():
            answer = site.ask(vm, "/v1/histograms")
            for shown in answer.json()["histograms"]:
                key = (shown["team"], shown["work_class"])
                present = self.waits_by_key.get(key, {"count": 0})
                if shown["name"] == "wait":
                    most = max(shown, present, key=lambda one: one["count"])
                    self.waits_by_key[key] = most

    def limit_of(self, team):
        """Returns a team's upper limit; None for an open queue's callers."""
        plan = self.plan_by_team.get(team)
        return plan.max_running if plan else None

    def _weight_of(self, team):
        plan = self.plan_by_team.get(team)
        return plan.share if plan else OPEN_QUEUE_WEIGHT

    def problems(self):
        """Returns what did not go as it should, one line each."""
        lines = []
        for result in self.results:
            for outcome in (
                load.Outcome.WRONG_BODY,
                load.Outcome.CUT,
                load.Outcome.NO_ENTRY,
            ):
                count = result.counts_by_outcome[outcome]
                if count:
                    lines.append(f"{result.load.team}: {count} {outcome}")
        for result in self.jobs:
            work_class = result.job.work_class.value
            if result.state != EXPECTED_STATES[work_class]:
                lines.append(f"{result.job.team}: job {result.state}")
        for team, peak in self.peak_by_team.items():
            limit = self.limit_of(team)
            if limit is not None and peak > limit:
                lines.append(f"{team}: {peak} running is over its limit")
        return lines

    def show(self):
        """Prints the tables, and the problems if there are any."""
        out = console.Console(width=110)
        out.print(self._requests_table())
        out.print(self._jobs_table())
        for line in self.problems():
            out.print(f"problem: {line}")

    def _requests_table(self):
        shown = table.Table(title="Requests")
        for name in (
            "team",
            "class",
            "sent",
            "answered",
            "refused",
            "p50 ms",
            "p99 ms",
            "share got",
            "share due",
            "peak",
            "limit",
        ):
            shown.add_column(
                name, justify="left" if name == "team" else "right"
            )
        got_by_team, due_by_team = self._shares()
        for result in self.results:
            team = result.load.team
            refused = ", ".join(
                f"{count} {code}" for code, count in result.codes.items()
            )
            shown.add_row(
                team,
                "request",
                str(result.sent),
                str(result.counts_by_outcome[load.Outcome.ANSWERED]),
                refused or "0",
                str(result.waits.get_value_at_percentile(50)),
                str(result.waits.get_value_at_percentile(99)),
                f"{got_by_team[team]:.1%}",
                f"{due_by_team[team]:.1%}",
                str(self.peak_by_team.get(team, "-")),
                str(self.limit_of(team) or "-"),
            )
        return shown

    def _shares(self):
        answered = {
            result.load.team: result.counts_by_outcome[load.Outcome.ANSWERED]
            for result in self.results
        }
        sent = {result.load.team: result.sent for result in self.results}
        total = sum(answered.values()) or 1
        due = _shares.shares_due(
            sent, {team: self._weight_of(team) for team in sent}, total
        )
        return (
            {team: count / total for team, count in answered.items()},
            {team: amount / total for team, amount in due.items()},
        )

    def _wait_of(self, job, percentile):
        shown = self.waits_by_key.get((job.team, job.work_class.value))
        return str(shown[percentile]) if shown else "-"

    def _jobs_table(self):
        shown = table.Table(title="Jobs")
        for name in (
            "team",
            "class",
            "tasks",
            "state",
            "attempts",
            "s",
            "p50 wait ms",
            "p99 wait ms",
            "peak",
            "limit",
        ):
            shown.add_column(
                name, justify="left" if name == "team" else "right"
            )
        for result in self.jobs:
            team = result.job.team
            shown.add_row(
                team,
                result.job.work_class.value,
                str(result.job.task_count),
                result.state,
                str(result.shown.get("attempts", "-")),
                f"{result.seconds:.1f}" if result.seconds else "-",
                self._wait_of(result.job, "p50_ms"),
                self._wait_of(result.job, "p99_ms"),
                str(self.peak_by_team.get(team, "-")),
                str(self.limit_of(team) or "-"),
            )
        return shown
