"""Best of a random sample of workers."""

from samphiregate.core.placement import _indexed
from samphiregate import parameters

# Length of the seed. It is also the shift to the high bits of the state: the
# low bits of a linear congruential generator have short periods.
HALF_STATE_BITS = 32
# Multiplier and increment of Knuth's MMIX generator.
LCG_MULTIPLIER = 6364136223846793005
LCG_INCREMENT = 1442695040888963407
STATE_MASK = (1 << 64) - 1


class SampledBestFit(_indexed.IndexedPlacement):
    """Places on the best fit among a few workers chosen at random.

    Parameters
    ----------
    samples : int
        Number of workers sampled in each round.
    rounds : int
        Number of rounds before the index is searched as in
        `IndexedBestFit`, so that work is not left waiting only because the
        samples missed the workers with room.
    cells, probes, spread_candidates, reservation_ms : int
        As in `IndexedBestFit`.
    random_state : random.Random or None
        Source of the seed; the seed is 0 if it is None.

    Notes
    -----
    Each event about a worker's room advances the pseudo-random state; a
    question does not, so that the same question always has the same answer.
    """

    parameter_table = {
        "samples": parameters.Interval(int, 1, 1_000),
        "rounds": parameters.Interval(int, 1, 100),
        "cells": parameters.Interval(int, 1, 1_000),
        "probes": parameters.Interval(int, 1, 10_000),
        "spread_candidates": parameters.Interval(int, 1, 1_000),
        "reservation_ms": parameters.Interval(int, 1, 86_400_000),
    }

    def __init__(
        self,
        *,
        samples=16,
        rounds=2,
        cells=8,
        probes=32,
        spread_candidates=16,
        reservation_ms=60_000,
        random_state=None,
    ):
        self.samples = samples
        self.rounds = rounds
        super().__init__(
            cells=cells,
            probes=probes,
            spread_candidates=spread_candidates,
            reservation_ms=reservation_ms,
            random_state=random_state,
        )
        self._state = 0
        if random_state is not None:
            self._state = random_state.getrandbits(HALF_STATE_BITS)
        self._ids = []
        self._position_by_id = {}

    def _worker_changed(self, worker, room):
        super()._worker_changed(worker, room)
        self._state = _next_state(self._state)
        if worker.worker_id not in self._position_by_id:
            self._position_by_id[worker.worker_id] = len(self._ids)
            self._ids.append(worker.worker_id)

    def _worker_removed(self, worker_id):
        super()._worker_removed(worker_id)
        position = self._position_by_id.pop(worker_id, None)
        if position is None:
            return
        last_id = self._ids.pop()
        if last_id != worker_id:
            self._ids[position] = last_id
            self._position_by_id[last_id] = position

    def _place_anywhere(self, question):
        state = self._state
        for _round in range(self.rounds):
            best, best_rank = None, None
            for _sample in range(self.samples if self._ids else 0):
                state = _next_state(state)
                position = (state >> HALF_STATE_BITS) % len(self._ids)
                record = self.index_.records_by_id[self._ids[position]]
                if not self._may_use(record, question):
                    continue
                rank = self._rank(record)
                if best is None or rank < best_rank:
                    best, best_rank = record, rank
            if best is not None:
                return best
        return self._place_best_fit(question)

    def _may_use(self, record, question):
        return (
            record.grid_key is not None
            and record.worker_id not in question.excluded_workers
            and question.resources.fits_in(record.room)
        )

    def _rank(self, record):
        free_share = record.room.dominant_share(record.worker.capacity)
        return (record.grid_key, free_share)


def _next_state(state):
    return (state * LCG_MULTIPLIER + LCG_INCREMENT) & STATE_MASK
