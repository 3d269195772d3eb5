"""Plays each trace once for each set of policies."""

import attrs

from bench.decisions import _arms
from bench.decisions import _player
from bench.decisions import _traces

FULL_S = 40
QUICK_S = 12
IDLE_NIGHT_S = 60
QUICK_CANCELLATIONS = 5_000


@attrs.define
class Plays:
    """The outcomes of one trace.

    Parameters
    ----------
    outcome_by_arm : dict of str to Outcome
        ``ours``, ``first-come`` and ``strict-priority``.
    """

    trace: object
    outcome_by_arm: dict

    @property
    def ours(self):
        """Outcome of this project's policies."""
        return self.outcome_by_arm["ours"]

    @property
    def first_come(self):
        """Outcome of first come, first fit."""
        return self.outcome_by_arm["first-come"]

    @property
    def strict(self):
        """Outcome of strict priority."""
        return self.outcome_by_arm["strict-priority"]


def play(make_trace, settings, **params):
    """Plays a trace under all sets of policies.

    Parameters
    ----------
    make_trace : callable
        One of `_traces`.
    settings : bench.Settings
        Seed and size.
    """
    end_s = QUICK_S if settings.quick else FULL_S
    if settings.quick and make_trace is _traces.cancellations:
        params["count"] = QUICK_CANCELLATIONS
    outcome_by_arm = {}
    for make_arm in _arms.ARMS:
        trace = make_trace(settings.seed, end_s, **params)
        arm = make_arm(settings.seed)
        outcome_by_arm[arm.name] = _player.Player(trace, arm).run()
    return Plays(trace, outcome_by_arm)


def play_ours(make_trace, settings, queue_params):
    """Plays a trace under ours, with other parameters of the queue."""
    trace = make_trace(settings.seed, IDLE_NIGHT_S)
    arm = _arms.ours(settings.seed, queue_params=queue_params)
    return _player.Player(trace, arm).run()
