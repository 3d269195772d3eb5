"""First fit over a list of workers, the baseline policy."""

from samphiregate.core import base
from samphiregate.core.placement import _messages


class FirstFit(base.Policy):
    """Places on the first worker that has room, in order of registration.

    Parameters
    ----------
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    The cost of a decision grows with the number of workers.
    """

    parameter_table = {}

    def __init__(self, *, random_state=None):
        self.random_state = random_state
        self.check_parameters()
        self.room_by_worker_ = {}

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies a placement event; other events are ignored."""

    @observe.register
    def _(self, event: _messages.WorkerRoomChanged, now_ms):
        self.room_by_worker_[event.worker.worker_id] = event.room

    @observe.register
    def _(self, event: _messages.WorkerRemoved, now_ms):
        self.room_by_worker_.pop(event.worker_id, None)

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Answers `PlaceTask` and `PlaceGang`; None if nothing fits."""
        raise TypeError(
            f"expected PlaceTask or PlaceGang, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.PlaceTask, now_ms):
        for worker_id, room in self.room_by_worker_.items():
            if worker_id in question.excluded_workers:
                continue
            if question.resources.fits_in(room):
                return worker_id
        return None

    @choose.register
    def _(self, question: _messages.PlaceGang, now_ms):
        worker_ids = []
        for worker_id, room in self.room_by_worker_.items():
            if worker_id in question.excluded_workers:
                continue
            while len(worker_ids) < question.count:
                if not question.resources.fits_in(room):
                    break
                room = room - question.resources
                worker_ids.append(worker_id)
            if len(worker_ids) == question.count:
                return tuple(worker_ids)
        return None

    def describe(self):
        """Returns the number of workers."""
        return {"policy": "first-fit", "workers": len(self.room_by_worker_)}
