"""Random faults for a simulated cell that runs long-running tasks.

Faults come in bursts and overlap; a calm time follows each burst.
"""

import functools
import random

from features.support import cells_restart
from features.support import cells_work
from samphiregate.core import cells

BURST_MS = 7_000
CALM_MS = 18_000
MAX_FAULT_GAP_MS = 1_500
MAX_FAULT_MS = 9_000
MAX_START_DELAY_MS = 3_000
OWN_FAILURE_GAP_MS = 1_300
HEARTBEAT_MS = 500
ENTRY_LIFETIME_MS = 3_000  # of an endpoint that is silent
SLOW_QUERY_MS = 1_500
MAX_ENDPOINTS_GONE = 2
SETTLE_MS = 2_000


class FaultyCell:
    """A cell under random faults, with long-running and urgent tasks.

    Parameters
    ----------
    simulation : CellSimulation
    watch : RestartWatch
        Told of each fault and when it ends.
    seed : int
    """

    def __init__(self, simulation, watch, seed):
        self._simulation = simulation
        self._watch = watch
        self._random = random.Random(seed)
        self._silent_since_ms_by_id = {}
        self._unlisted_ids = set()
        self._is_listed_by_id = {}  # while cut off
        self._gone_ids = set()
        self._faults = (
            self._cut,
            self._restart,
            self._end_for_good,
            self._delay_starts,
            self._lose_answers,
            self._fail_tasks,
            self._change_owner,
            self._stop_store,
            self._slow_policy,
            self._fail_policy,
        )

    def run(self, bursts):
        """Runs bursts of faults, each followed by a calm time."""
        simulation = self._simulation
        self._keep_registrations()
        simulation.run_for(SETTLE_MS)
        self._fail_by_themselves()
        for _burst in range(bursts):
            end_ms = simulation.now_ms + BURST_MS
            while simulation.now_ms < end_ms:
                self._random.choice(self._faults)()
                simulation.run_for(self._random.randint(10, MAX_FAULT_GAP_MS))
            simulation.run_for(CALM_MS)

    # What goes on all the time

    def _keep_registrations(self):
        """Keeps the entries of the endpoints in the store, as they would."""
        now_ms = self._simulation.now_ms
        for endpoint in self._simulation.endpoint_by_id.values():
            endpoint_id = endpoint.endpoint_id
            if endpoint.reachable:
                self._silent_since_ms_by_id.pop(endpoint_id, None)
                self._unlisted_ids.discard(endpoint_id)
                self._deliver(endpoint.registration)
                continue
            since_ms = self._silent_since_ms_by_id.setdefault(
                endpoint_id, now_ms
            )
            if (
                now_ms - since_ms >= ENTRY_LIFETIME_MS
                and endpoint_id not in self._unlisted_ids
                and not (
                    endpoint.is_partitioned
                    and self._is_listed_by_id[endpoint_id]
                )
            ):
                self._unlisted_ids.add(endpoint_id)
                self._deliver(cells.EndpointDeregistered(endpoint_id))
        self._simulation.at(HEARTBEAT_MS, self._keep_registrations)

    def _deliver(self, event):
        if self._simulation.owner_up:
            self._simulation.deliver(event)

    def _fail_by_themselves(self):
        """Lets a long-running task fail by its own fault, now and then."""
        runs = cells_restart.long_running_runs(self._simulation)
        if runs:
            endpoint, run = self._random.choice(runs)
            endpoint.fail(run)
        self._simulation.at(OWN_FAILURE_GAP_MS, self._fail_by_themselves)

    # Faults

    def _endpoint(self):
        endpoint_ids = sorted(self._simulation.endpoint_by_id)
        return self._simulation.endpoint_by_id[
            self._random.choice(endpoint_ids)
        ]

    def _set_for_a_while(self, target, name, value, usual, margin_ms=0):
        """Sets an attribute until the fault ends."""
        span_ms = self._random.randint(300, MAX_FAULT_MS)
        setattr(target, name, value)
        self._simulation.at(
            span_ms, functools.partial(setattr, target, name, usual)
        )
        self._watch.note_fault(span_ms + margin_ms)

    def _cut(self):
        """Cuts an endpoint off, from the owner alone or from the store too."""
        endpoint = self._endpoint()
        endpoint_id = endpoint.endpoint_id
        if endpoint_id not in self._gone_ids:
            self._set_for_a_while(endpoint, "is_partitioned", True, False)
            self._is_listed_by_id[endpoint_id] = self._random.random() < 0.5

    def _restart(self):
        endpoint = self._endpoint()
        if endpoint.endpoint_id in self._gone_ids:
            return
        endpoint.restart()
        self._watch.note_fault(
            endpoint.restarting_until_ms - self._simulation.now_ms
        )

    def _end_for_good(self):
        endpoint = self._endpoint()
        if len(self._gone_ids) < MAX_ENDPOINTS_GONE and endpoint.reachable:
            self._gone_ids.add(endpoint.endpoint_id)
            endpoint.leave()
            self._watch.note_fault(0)

    def _delay_starts(self):
        delay_ms = self._random.randint(200, MAX_START_DELAY_MS)
        self._set_for_a_while(
            self._endpoint(), "start_delay_ms", delay_ms, 0, delay_ms
        )

    def _lose_answers(self):
        share = self._random.uniform(0.2, 1)
        self._set_for_a_while(self._endpoint(), "unanswered_share", share, 0.0)

    def _fail_tasks(self):
        self._set_for_a_while(self._endpoint(), "fails_all_tasks", True, False)

    def _change_owner(self):
        for _owner in range(self._random.randint(1, 3)):
            self._simulation.kill_owner()
            self._simulation.run_for(self._random.randint(10, 3_000))
            self._simulation.take_over()
            self._watch.note_fault(0)
            self._simulation.run_for(self._random.randint(10, 1_500))

    def _stop_store(self):
        self._set_for_a_while(self._simulation, "store_up", False, True)

    def _slow_policy(self):
        simulation = self._simulation
        self._set_for_a_while(
            simulation,
            "policy_query_ms",
            SLOW_QUERY_MS,
            cells_restart.POLICY_QUERY_MS,
            SLOW_QUERY_MS,
        )

    def _fail_policy(self):
        self._set_for_a_while(self._simulation, "failed_query_share", 0.7, 0.0)


def submit_long_running_jobs(simulation):
    """Submits jobs whose tasks differ in size, policy and spread."""
    advice = cells.PolicyTimings(
        cells_restart.POLICY_QUERY_MS, 0.1, cells_restart.TICKET_VALID_MS
    )
    simulation.policy_query_ms = cells_restart.POLICY_QUERY_MS
    simulation.allowed_by_step["tickets", 0] = ("e0", "e2", "e4", "e6")
    simulation.allowed_by_step["large", 0] = ("e1", "e2", "e3", "e4")
    steps = {
        "plain": cells_work.make_step(3, long_running=True),
        "tickets": cells_work.make_step(2, long_running=True),
        "large": cells_work.make_step(1, cpu=2_000, long_running=True),
        "spread": cells_work.make_step(
            2, long_running=True, most_per_endpoint=1
        ),
    }
    for job_id, step in steps.items():
        needs_tickets = (job_id, 0) in simulation.allowed_by_step
        simulation.submit(
            cells_work.make_job(
                job_id,
                step,
                priority=2,
                advice=advice if needs_tickets else None,
            )
        )
    return advice
