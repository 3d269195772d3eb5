"""Steps about a site of real processes."""

import signal

import behave
import gevent

from features.support import site as support
from standins import load
from standins import processes

NORTH = "north"


def _first_vm(context):
    return next(iter(context.loaded.site.vms_by_id.values()))


def _stop_one(context):
    status = context.loaded.site.stop_entry_vm(_first_vm(context).vm_id)
    assert status == 0, status


def _replace_all(context):
    site = context.loaded.site
    for vm in tuple(site.vms_by_id.values()):
        added = site.add_entry_vm(vm.data_centre)
        processes.wait_until(
            lambda vm=added: site.is_ready(vm), support.WAIT_S, "readiness"
        )
        status = site.stop_entry_vm(vm.vm_id)
        assert status == 0, (vm.vm_id, status)


def _kill_one(context):
    context.loaded.site.kill_entry_vm(_first_vm(context).vm_id)


def _pause_one(context):
    vm = _first_vm(context)
    vm.process.signal(signal.SIGSTOP)
    gevent.sleep(6)
    vm.process.signal(signal.SIGCONT)


def _platform_down(context):
    context.loaded.site.set_platform_faults(down=True)
    gevent.sleep(5)
    context.loaded.site.set_platform_faults(down=False)


def _kill_runner(context):
    loaded = context.loaded
    runner_id = loaded.runner_ids[0]
    context.lost_executions = loaded.executions_by_request()
    process = loaded.site.processes_by_name.pop(runner_id)
    del loaded.site.runner_endpoints_by_id[runner_id]
    process.signal(signal.SIGKILL)
    process.wait()


def _silence_links(context):
    proxies = context.loaded.site.proxies_by_vm[_first_vm(context).vm_id]
    proxies.local.silence_open_connections()
    proxies.remote.silence_open_connections()


def _cut_data_centre(context):
    site = context.loaded.site
    north = [
        site.proxies_by_vm[vm.vm_id]
        for vm in site.vms_by_id.values()
        if vm.data_centre == NORTH
    ]
    every = list(site.proxies_by_vm.values())
    cut = [one.remote for one in every] + [one.platform for one in north]
    for proxy in cut:
        proxy.faults.silent_to_server = True
        proxy.faults.silent_to_client = True
    gevent.sleep(4)
    for proxy in cut:
        proxy.faults.silent_to_server = False
        proxy.faults.silent_to_client = False
        proxy.cut()


FAILURES_BY_NAME = {
    "one entry VM stops gracefully": _stop_one,
    "every entry VM is replaced in turn": _replace_all,
    "one entry VM is killed": _kill_one,
    "one entry VM is paused for 6 s": _pause_one,
    "the platform is down for 5 s": _platform_down,
    "one runner is killed": _kill_runner,
    "the open links of one VM go silent": _silence_links,
    "one data centre is cut off for 4 s": _cut_data_centre,
}


@behave.given("a loaded site, {links} links")
def given_loaded_site(context, links):
    context.loaded = support.LoadedSite(proxied=links == "proxied")
    context.add_cleanup(context.loaded.close)


@behave.when(
    "{tasks:d} batch tasks of {run_time_ms:d} ms and {seconds:d} s of"
    " requests are under way"
)
def when_under_way(context, tasks, run_time_ms, seconds):
    context.tasks = tasks
    context.job_id = context.loaded.submit_batch(tasks, run_time_ms)
    context.loaded.start_load(seconds)


@behave.when("{tasks:d} batch tasks of {run_time_ms:d} ms are submitted")
def when_submitted(context, tasks, run_time_ms):
    context.tasks = tasks
    context.job_id = context.loaded.submit_batch(tasks, run_time_ms)


@behave.when("after {seconds:d} s it suffers: {failure}")
def when_suffers(context, seconds, failure):
    gevent.sleep(seconds)
    FAILURES_BY_NAME[failure](context)


@behave.when("{count:d} requests are sent at the same time")
def when_at_once(context, count):
    context.result = context.loaded.send_at_once(count)


@behave.then(
    "each of the {count:d} ended as answered, or as refused and not run"
)
def then_each_ended(context, count):
    counts = context.result.counts_by_outcome
    ended = counts[load.Outcome.ANSWERED] + counts[load.Outcome.REFUSED]
    assert ended == count, (counts, context.result.codes)
    assert counts[load.Outcome.ANSWERED] > count / 2, context.result.codes


@behave.when("the key of the requests is withdrawn")
def when_withdrawn(context):
    operator = context.loaded.operator
    keys = operator.run_json("keys", "list")
    key_id = next(one["key_id"] for one in keys if one["team"] == support.TEAM)
    operator.run("keys", "withdraw", key_id)


@behave.when(
    "the entry VMs of {data_centre} are killed and replaced one after the"
    " other"
)
def when_replaced(context, data_centre):
    site = context.loaded.site
    for vm in tuple(site.vms_by_id.values()):
        if vm.data_centre == data_centre:
            added = site.add_entry_vm(vm.data_centre)
            processes.wait_until(
                lambda vm=added: site.is_ready(vm),
                support.WAIT_S,
                "readiness",
            )
            gevent.sleep(4)
            site.kill_entry_vm(vm.vm_id)


def _matches(expected, count):
    return count == 0 if expected == "no" else True


@behave.then("the load ends with {cut} cut and {refused} refused requests")
def then_load_ends(context, cut, refused):
    context.result = context.loaded.load_result()
    counts = context.result.counts_by_outcome
    assert counts[load.Outcome.ANSWERED] > context.result.sent * 0.5, counts
    assert _matches(cut, counts[load.Outcome.CUT]), counts
    not_answered = counts[load.Outcome.REFUSED]
    not_answered += counts[load.Outcome.UNKNOWN]
    assert _matches(refused, not_answered), context.result.codes


@behave.then("no request was executed twice, and each answer was its own")
def then_once(context):
    loaded = context.loaded
    executions = loaded.executions_by_request()
    for request_id, count in getattr(context, "lost_executions", {}).items():
        executions[request_id] = max(executions[request_id], count)
    repeated = {key: n for key, n in executions.items() if n > 1}
    assert not repeated, repeated
    counts = context.result.counts_by_outcome
    assert counts[load.Outcome.WRONG_BODY] == 0, counts
    assert len(executions) >= counts[load.Outcome.ANSWERED], counts


@behave.then("the batch succeeds, and no task ran in two places at once")
def then_batch_succeeds(context):
    state = context.loaded.wait_for_job(context.job_id)
    assert state == "succeeded", state
    runs = context.loaded.task_runs()
    seen = {run.task for run in runs if run.task[0] == context.job_id}
    assert len(seen) == context.tasks, len(seen)
    pairs = support.overlapping(runs)
    assert not pairs, pairs


@behave.then("every entry VM refuses it")
def then_refused(context):
    loaded = context.loaded

    def all_refuse():
        codes = loaded.refusals_by_vm(loaded.key)
        return set(codes.values()) == {"key-refused"}

    processes.wait_until(all_refuse, support.WAIT_S, "the refusals")


@behave.then("all the processes that are left stop gracefully")
def then_stop_gracefully(context):
    statuses = context.loaded.site.stop_all()
    unclean = {name: code for name, code in statuses.items() if code}
    assert not unclean, unclean
