"""Places foreign tasks on workers, fewer and fewer."""


class OlderScheduler:
    """Keeps a number of tasks running, which falls to none over time.

    Parameters
    ----------
    tasks : int
        Tasks running at first.
    amount : tuple of int
        Processor, memory and accelerators of each.
    run_ms : int
        Run time of each.
    drain_start_ms, drain_ms : int
        When it begins to drain, and how long that takes.
    random_state : random.Random
        Chooses workers.

    Notes
    -----
    It knows nothing of the newer scheduler: a worker without room refuses
    its task, and it tries another one later.
    """

    def __init__(
        self,
        *,
        tasks,
        amount,
        run_ms,
        drain_start_ms,
        drain_ms,
        random_state,
    ):
        self.tasks = tasks
        self.amount = tuple(amount)
        self.run_ms = run_ms
        self.drain_start_ms = drain_start_ms
        self.drain_ms = drain_ms
        self.random_state = random_state
        self.end_ms_by_task = {}
        self.placed = 0
        self.refused = 0

    def target(self, now_ms):
        """Returns how many tasks it wants to run."""
        drained_ms = now_ms - self.drain_start_ms
        if drained_ms <= 0:
            return self.tasks
        left = max(0, self.drain_ms - drained_ms)
        return self.tasks * left // self.drain_ms

    def step(self, places, now_ms):
        """Places what is missing.

        Parameters
        ----------
        places : sequence of callable
            One for each worker; takes a task id, an amount and a run time,
            and returns whether the worker took the task.
        """
        for task_id, end_ms in tuple(self.end_ms_by_task.items()):
            if end_ms <= now_ms:
                del self.end_ms_by_task[task_id]
        missing = self.target(now_ms) - len(self.end_ms_by_task)
        for _task in range(missing):
            self._place(places, now_ms)

    def _place(self, places, now_ms):
        task_id = f"older-{self.placed + self.refused}"
        place = self.random_state.choice(places)
        if place(task_id, self.amount, self.run_ms):
            self.placed += 1
            self.end_ms_by_task[task_id] = now_ms + self.run_ms
        else:
            self.refused += 1
