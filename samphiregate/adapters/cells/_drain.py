"""Stops an entry VM without leaving a caller's request unanswered."""

import gevent

# Before the process is killed.
REJECT_MARGIN_S = 1.0
GIVE_UP_MARGIN_S = 0.5


def drain(*, vm, server, allowed_s, sleep=gevent.sleep):
    """Hands over and serves on; then rejects requests and ends open ones.

    The hand-over takes long if the store does not answer, and uses up none
    of the time for the requests.

    Parameters
    ----------
    vm : EntryVm
    server : DrainingServer
        The callers' server.
    allowed_s : float
        Time until the process is killed.
    sleep : callable

    Returns
    -------
    int
        Number of whole requests that are not answered.
    """
    gevent.spawn(vm.hand_over)
    server.closes_after_answer = True
    reject_s = max(allowed_s - REJECT_MARGIN_S, 0)
    give_up_s = max(allowed_s - GIVE_UP_MARGIN_S, 0)
    sleep(reject_s)
    vm.stop_accepting()
    giving_up = gevent.spawn_later(
        give_up_s - reject_s, vm.job_service.give_up
    )
    try:
        # Nothing but the kill ends the wait for what is being answered.
        return server.drain(read_s=give_up_s - reject_s, answer_s=allowed_s)
    finally:
        giving_up.kill()
