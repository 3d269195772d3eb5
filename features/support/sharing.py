"""A site with more work than capacity, in virtual time."""

import heapq
import itertools

from samphiregate.core import model
from samphiregate.core import queueing

CORES = 100
WINDOW_MS = 10_000
BATCH = model.WorkClass.BATCH


class SaturatedSite:
    """One hundred cores that start work from a fair-share queue.

    Parameters
    ----------
    weights : list of float
        Weight of each team, named ``team-0`` and so on.
    history_weight : float
        History weight of the queue.
    """

    def __init__(self, weights, history_weight):
        self.weight_by_team = {
            f"team-{number}": weight for number, weight in enumerate(weights)
        }
        self.queue = queueing.make_queue(
            "fair-share", history_weight=history_weight
        )
        self.now_ms = 0
        self.free = CORES
        self._sequence = itertools.count()
        self._ends = []
        self._task_by_team = {}
        self._used_by_team = dict.fromkeys(self.weight_by_team, 0)
        self._windows = []
        self._first_window_ms = 0
        self._observe(queueing.WeightsChanged(self.weight_by_team))
        total = model.Resources(CORES * 1_000, CORES * 1_000, 0)
        self._observe(queueing.CapacityChanged(total))

    def set_demand(self, cores, seconds):
        """Sets the size and length of the tasks that teams keep queued."""
        rows = zip(cores, seconds, strict=True)
        for number, (size, length) in enumerate(rows):
            team = f"team-{number}"
            is_new = team not in self._task_by_team
            self._task_by_team[team] = (size, length * 1_000)
            for _item in range(CORES if is_new else 0):
                self._enqueue(team)

    def start(self, team, cores, *, urgent=False):
        """Starts work of a team that uses `cores` cores and does not end."""
        amount = _amount(cores)
        self._observe(queueing.ItemStarted(team, amount, BATCH, urgent))

    def fast_forward(self, length_ms):
        """Advances the time, and the ends of running tasks by as much."""
        self.run(1)
        self.now_ms += length_ms
        self._ends = [
            (end_ms + length_ms, *rest) for end_ms, *rest in self._ends
        ]

    def run(self, length_ms):
        """Starts and ends tasks for `length_ms`."""
        end_ms = self.now_ms + length_ms
        self._fill()
        while self._ends and self._ends[0][0] <= end_ms:
            at_ms, _sequence, team, cores = heapq.heappop(self._ends)
            self._advance(at_ms)
            self._end(team, cores)
            while self._ends and self._ends[0][0] == at_ms:
                _at_ms, _sequence, team, cores = heapq.heappop(self._ends)
                self._end(team, cores)
            self._fill()
        self._advance(end_ms)

    def reset_windows(self):
        """Discards all windows and starts the first one now."""
        self._windows = []
        self._first_window_ms = self.now_ms

    def shares(self):
        """Returns each team's share of the site in each complete window."""
        return [
            {team: used / (CORES * WINDOW_MS) for team, used in each.items()}
            for each in self._windows[:-1]
        ]

    def _observe(self, event):
        self.queue.observe(event, self.now_ms)

    def _enqueue(self, team):
        size, _length_ms = self._task_by_team[team]
        item = queueing.QueuedItem(
            item_id=f"{team}/{next(self._sequence)}",
            team=team,
            work_class=BATCH,
            resources=_amount(size),
        )
        self._observe(queueing.ItemQueued(item))

    def _fill(self):
        skipped = set()
        while True:
            question = queueing.NextItem(skipped_teams=frozenset(skipped))
            item = self.queue.choose(question, self.now_ms)
            if item is None:
                return
            size, length_ms = self._task_by_team[item.team]
            if size > self.free:
                return
            self.free -= size
            self._used_by_team[item.team] += size
            self._observe(queueing.ItemRemoved(item.item_id))
            started = queueing.ItemStarted(item.team, item.resources, BATCH)
            self._observe(started)
            # Varies the lengths, so that tasks do not end all at once.
            sequence = next(self._sequence)
            length_ms += sequence % 97 * length_ms // 200
            entry = (self.now_ms + length_ms, sequence, item.team, size)
            heapq.heappush(self._ends, entry)
            self._enqueue(item.team)

    def _end(self, team, cores):
        self.free += cores
        self._used_by_team[team] -= cores
        self._observe(queueing.ItemEnded(team, _amount(cores), BATCH))

    def _advance(self, now_ms):
        while self.now_ms < now_ms:
            number = (self.now_ms - self._first_window_ms) // WINDOW_MS
            window_end_ms = self._first_window_ms + (number + 1) * WINDOW_MS
            until_ms = min(window_end_ms, now_ms)
            while len(self._windows) <= number + 1:
                self._windows.append(dict.fromkeys(self._used_by_team, 0))
            window = self._windows[number]
            for team, used in self._used_by_team.items():
                window[team] += used * (until_ms - self.now_ms)
            self.now_ms = until_ms


def _amount(cores):
    return model.Resources(cores * 1_000, cores * 1_000, 0)
