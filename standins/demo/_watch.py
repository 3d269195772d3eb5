"""Watches how much each team has running, over all entry VMs."""

import collections

import gevent

from samphiregate import errors

PERIOD_S = 0.1


class UsageWatch:
    """Polls the status of entry VMs; a context manager.

    Parameters
    ----------
    site : Site
        A running site.

    Attributes
    ----------
    peak_by_team : dict
        Most tasks and requests seen running at one poll.
    """

    def __init__(self, site):
        self._site = site
        self._greenlet = None
        self.peak_by_team = {}

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def _run(self):
        while True:
            self._poll()
            gevent.sleep(PERIOD_S)

    def _poll(self):
        running_by_team = collections.Counter()
        for vm in tuple(self._site.vms_by_id.values()):
            try:
                answer = self._site.ask(vm, "/v1/status")
            except errors.SamphiregateError:
                continue
            if answer is not None and answer.status == 200:
                running_by_team.update(answer.json()["running_by_team"])
        for team, running in running_by_team.items():
            peak = self.peak_by_team.get(team, 0)
            self.peak_by_team[team] = max(peak, running)
