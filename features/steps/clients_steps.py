"""Steps about clients outside of the limits."""

import signal

import behave
import gevent

from features.support import crowds
from features.support import vm_process
from standins import processes


@behave.given("a VM with {memory_mb:d} MB and {max_fds:d} descriptors")
def given_vm(context, memory_mb, max_fds):
    context.memory_mb = memory_mb
    context.max_fds = max_fds
    context.vm = crowds.CrowdedVm(memory_mb=memory_mb, max_fds=max_fds)
    context.add_cleanup(context.vm.close)
    context.vm.start()


@behave.when("{count:d} clients send {what} to its {port} port")
def when_clients(context, count, what, port):
    context.vm.gather(count, what, port)


@behave.when("{count:d} clients each submit the largest sound job")
def when_large_jobs(context, count):
    body = crowds.largest_job()
    calls = [gevent.spawn(context.vm.submit, body) for _ in range(count)]
    gevent.joinall(calls)
    context.statuses = [call.value for call in calls]


@behave.then("each of their jobs is accepted or refused as not run")
def then_definite(context):
    assert set(context.statuses) <= {200, 429, 503}, context.statuses


@behave.then("the owner holds those that were accepted")
def then_held(context):
    count = context.statuses.count(200)
    processes.wait_until(
        lambda: context.vm.count_waiting() >= count,
        vm_process.WAIT_S,
        "taking in the jobs",
    )


@behave.when("the clients have left")
def when_left(context):
    context.vm.dismiss()


@behave.when("the VM gets SIGTERM")
def when_terminated(context):
    context.vm.process.signal(signal.SIGTERM)


@behave.then("an ordinary request is answered")
def then_answered(context):
    status = context.vm.submit()
    assert status == 200, status


@behave.then("the VM is ready and kept to its memory and descriptors")
def then_kept(context):
    vm = context.vm
    vm.wait_ready()
    assert vm.process.exit_status is None, vm.process.exit_status
    peak_mb = vm.peak_bytes() / crowds.BYTES_PER_MB
    assert peak_mb <= context.memory_mb, peak_mb
    assert vm.most_descriptors <= context.max_fds, vm.most_descriptors


@behave.then("the VM ends by itself")
def then_ends(context):
    status = context.vm.process.wait(vm_process.WAIT_S)
    assert status == 0, status
