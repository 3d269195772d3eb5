"""Faults to inject into a site of `features.support.jobs`."""

from samphiregate.core import workers

FAULTS_BY_NAME = {}


def fault(name):
    """Registers a function that injects a fault into a site."""

    def register(function):
        FAULTS_BY_NAME[name] = function
        return function

    return register


def owner_of_job(site, job_id):
    """Returns the entry VM that owns a job."""
    for vm_id, one in site.vms_by_id.items():
        if one.job_owner._find_job(job_id) is not None:
            return vm_id
    return None


def other_worker_owner(site, job_id):
    """Returns the owner of most workers among the VMs that don't own a job."""
    owner = owner_of_job(site, job_id)
    return max(
        (one for one in site.vms_by_id.values() if one.vm_id != owner),
        key=lambda one: len(one.worker_owner.ledger_.workers_by_id),
    ).vm_id


@fault("none")
def _none(site, job_id):
    """Nothing happens."""


@fault("job owner crashes")
def _job_owner_crashes(site, job_id):
    site.crash(owner_of_job(site, job_id))


@fault("worker owner crashes")
def _worker_owner_crashes(site, job_id):
    site.crash(other_worker_owner(site, job_id))


@fault("two VMs crash")
def _two_crash(site, job_id):
    site.crash(owner_of_job(site, job_id))
    site.crash(sorted(site.vms_by_id)[0])


@fault("every VM is replaced in turn")
def _all_replaced(site, job_id):
    for number, vm_id in enumerate(sorted(site.vms_by_id)):
        site.add_vm(f"new{number}")
        site.configure()
        site._announce_fleet()
        site.run_for(500)
        site.crash(vm_id)
        site.run_for(8_000)


@fault("every VM stops gracefully in turn")
def _all_stop(site, job_id):
    for number, vm_id in enumerate(sorted(site.vms_by_id)):
        site.add_vm(f"new{number}")
        site.configure()
        site._announce_fleet()
        site.run_for(2_000)
        site.stop(vm_id)
        site.run_for(5_000)


def _pause(site, vm_id, pause_ms):
    site.pause(vm_id)
    site.run_for(3_000)
    site.declare_dead(vm_id)
    site.run_for(pause_ms)
    site.resume(vm_id)
    site.run_for(1_500)
    site.update_table(vm_id)


@fault("job owner pauses past the lease")
def _job_owner_pauses(site, job_id):
    _pause(site, owner_of_job(site, job_id), 20_000)


@fault("worker owner pauses past the lease")
def _worker_owner_pauses(site, job_id):
    _pause(site, other_worker_owner(site, job_id), 20_000)


@fault("worker owner pauses for 5 s")
def _worker_owner_pauses_shortly(site, job_id):
    vm_id = other_worker_owner(site, job_id)
    site.pause(vm_id)
    site.run_for(5_000)
    site.vms_by_id[vm_id].ownership.stale_table = None
    site.resume(vm_id)


def _every_nth(site, count, default, nth):
    calls = [0]

    def choose(*_arguments):
        calls[0] += 1
        return nth if calls[0] % count == 0 else default

    return choose


@fault("each third answer is lost")
def _answers_lost(site, job_id):
    site.exchange_filter = _every_nth(site, 3, "deliver", "lose-answer")


@fault("each third exchange arrives 25 s late")
def _exchanges_late(site, job_id):
    site.exchange_filter = _every_nth(site, 3, "deliver", 25_000)


@fault("each third exchange arrives 3 s late")
def _exchanges_slow(site, job_id):
    site.exchange_filter = _every_nth(site, 3, "deliver", 3_000)


@fault("each fifth message is lost")
def _messages_lost(site, job_id):
    site.peer_filter = _every_nth(site, 5, (0,), ())


@fault("each third message comes twice, late")
def _messages_twice(site, job_id):
    site.peer_filter = _every_nth(site, 3, (0,), (0, 7_000))


@fault("each fifth message is 4 s late")
def _messages_late(site, job_id):
    site.peer_filter = _every_nth(site, 5, (0,), (4_000,))


@fault("orders are lost for 5 s")
def _orders_lost(site, job_id):
    def choose(sender, recipient, message):
        is_order = isinstance(message, workers.TaskOrders)
        return () if is_order and sender != recipient else (0,)

    site.peer_filter = choose
    site.run_for(5_000)
    site.peer_filter = lambda *_arguments: (0,)


@fault("a worker is cut off for 30 s")
def _worker_cut(site, job_id):
    worker_id = site.workers_of(job_id)[0]

    def choose(_vm_id, exchange):
        return "lose" if exchange.worker_id == worker_id else "deliver"

    site.exchange_filter = choose
    site.run_for(30_000)
    site.exchange_filter = lambda *_arguments: "deliver"


@fault("a worker restarts")
def _worker_restarts(site, job_id):
    site.restart_worker(site.workers_of(job_id)[0])


@fault("a worker goes for good")
def _worker_goes(site, job_id):
    site.down_workers.add(site.workers_of(job_id)[0])


@fault("a worker fails all it starts")
def _worker_fails(site, job_id):
    site.workers_by_id[site.workers_of(job_id)[0]].faults.fail_starts = True


@fault("a worker refuses all starts")
def _worker_refuses(site, job_id):
    site.workers_by_id[site.workers_of(job_id)[0]].faults.refuse_starts = True


@fault("a worker's clock is 2% slow")
def _slow_clock(site, job_id):
    site.clock_rate_by_worker["w0"] = 0.98


@fault("worker owner crashes while answers are lost")
def _crash_and_lost(site, job_id):
    _answers_lost(site, job_id)
    _worker_owner_crashes(site, job_id)


@fault("job owner crashes while messages come twice")
def _crash_and_twice(site, job_id):
    _messages_twice(site, job_id)
    _job_owner_crashes(site, job_id)


@fault("a worker is paused for 30 s")
def _worker_paused(site, job_id):
    worker_id = site.workers_of(job_id)[0]

    def choose(_vm_id, exchange):
        return 31_000 if exchange.worker_id == worker_id else "deliver"

    site.exchange_filter = choose
    site.run_for(30_000)
    site.exchange_filter = lambda *_arguments: "deliver"


@fault("worker owner crashes while a worker is cut off")
def _crash_and_cut(site, job_id):
    vm_id = other_worker_owner(site, job_id)
    owned = site.vms_by_id[vm_id].worker_owner.ledger_.workers_by_id
    worker_id = sorted(owned)[0]

    def choose(_vm_id, exchange):
        return "lose" if exchange.worker_id == worker_id else "deliver"

    site.exchange_filter = choose
    site.crash(vm_id)
    site.run_for(30_000)
    site.exchange_filter = lambda *_arguments: "deliver"


@fault("worker owner is declared dead and cannot reach its workers")
def _stale_owner(site, job_id):
    vm_id = other_worker_owner(site, job_id)
    stale_vm = site.vms_by_id[vm_id]
    stale_vm.ownership.stale_table = dict(site.table)

    def choose(sender, _exchange):
        return "lose" if sender == vm_id else "deliver"

    site.exchange_filter = choose
    site.declare_dead(vm_id)
    site.run_for(25_000)
    site.update_table(vm_id)
