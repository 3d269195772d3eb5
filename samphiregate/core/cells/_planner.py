"""Decides what is started where, and what the policy service is asked."""

from samphiregate.core.cells import _messages
from samphiregate.core.cells import _order
from samphiregate.core.cells import _placement

TICKET_MARGIN_MS = 100  # a start has to reach the endpoint before the end
MOST_ASKED = 30
ASK_AGAIN_MS = 150
MOST_RESERVED = 4


class Planner:
    """Plans the starts of a cell.

    Parameters
    ----------
    book : Book
    lease_ms : int
        Lease that each start gives.
    may_start : callable
        Takes a job entry; whether its waiting tasks surely run nowhere.
    is_resting : callable
        Takes an endpoint id and the time; whether it is kept from work as
        it fails what it starts.
    """

    def __init__(self, *, book, lease_ms, may_start, is_resting):
        self._book = book
        self._lease_ms = lease_ms
        self._may_start = may_start
        self._is_resting = is_resting
        self._packing = _placement.Packing()

    def plan(self, now_ms):
        """Starts what can be started, the most urgent first."""
        book = self._book
        reserved = set()
        stages = sorted(
            book.open_stages.values(),
            key=lambda stage: _order.urgency(stage, now_ms),
        )
        for stage in stages:
            tasks = stage.startable()
            if not tasks:
                if all(task.is_done for task in stage.tasks) or not any(
                    task.is_waiting for task in stage.tasks
                ):
                    del book.open_stages[stage.entry.job.job_id, stage.key]
                continue
            if self._may_start(stage.entry):
                self._plan_stage(stage, tasks, reserved, now_ms)

    def _plan_stage(self, stage, tasks, reserved, now_ms):
        account = stage.entry.job.account
        tasks = self._within_cap(stage, tasks, account)
        if not tasks:
            return
        usable = self._usable(stage, now_ms)
        candidates = self._candidates(stage, usable, reserved, now_ms)
        chosen = self._packing.choose(stage.step, len(tasks), candidates)
        if chosen:
            self._start(stage, tasks, chosen, now_ms)
        missing = len(tasks) - len(chosen)
        if missing:
            if stage.queue.advice:
                self._ask(stage, usable, now_ms)
            self._reserve(stage, usable, missing, reserved)

    def _within_cap(self, stage, tasks, account):
        caps = self._book.caps
        demand = stage.step.demand
        if caps.allows(account, demand.times(len(tasks))):
            return tasks
        if stage.step.gang:
            return []
        allowed = 0
        while caps.allows(account, demand.times(allowed + 1)):
            allowed += 1
        return tasks[:allowed]

    def _usable(self, stage, now_ms):
        """Returns the endpoints that the stage's rules allow at all."""
        service = stage.queue.service
        label = stage.step.required_label
        return [
            endpoint
            for endpoint in self._book.endpoint_by_id.values()
            if endpoint.news.service == service
            and endpoint.may_start
            and endpoint.rest_until_ms <= now_ms
            and (not label or label in endpoint.news.labels)
            and not self._is_resting(endpoint.endpoint_id, now_ms)
        ]

    def _candidates(self, stage, usable, reserved, now_ms):
        candidates = []
        for endpoint in usable:
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in reserved:
                continue
            if stage.queue.advice and not _has_ticket(
                stage, endpoint_id, now_ms
            ):
                continue
            most = _most_further(stage, endpoint_id)
            if most > 0:
                candidates.append(
                    _placement.Candidate(endpoint, endpoint.free, most)
                )
        return candidates

    def _start(self, stage, tasks, chosen, now_ms):
        book = self._book
        run = None
        if stage.step.gang:
            run = max(task.last_run for task in tasks) + 1
        for task, endpoint in zip(tasks, chosen, strict=False):
            booking = book.book(
                task, run or task.last_run + 1, endpoint, now_ms
            )
            ticket = stage.ticket_by_id.get(endpoint.endpoint_id)
            book.actions.append(
                _messages.StartTask(
                    endpoint.endpoint_id,
                    endpoint.news.address,
                    task.task_id,
                    booking.run,
                    stage.entry.job.payload,
                    endpoint.deadline_ms(now_ms, self._lease_ms),
                    task.saved,
                    ticket.text if ticket else "",
                )
            )
        book.decided(
            "tasks placed",
            stage.entry.job.job_id,
            step=stage.key,
            placed=len(chosen),
            wanted=len(tasks),
            waited_ms=now_ms - (stage.opened_ms or now_ms),
            endpoints=sorted({one.endpoint_id for one in chosen}),
        )

    def _ask(self, stage, usable, now_ms):
        if stage.asking or stage.ask_after_ms > now_ms:
            return
        named = self._to_ask(stage, usable, now_ms)
        if not named:
            return
        stage.asking = True
        advice = stage.queue.advice
        self._book.actions.append(
            _messages.AskAdvice(
                stage.entry.job.job_id,
                stage.occurrence,
                stage.number,
                tuple(one.endpoint_id for one in named),
                advice.decide_ms + advice.each_ms * len(named),
                advice.valid_ms,
            )
        )

    def _to_ask(self, stage, usable, now_ms):
        """Returns the endpoints to name in the next question.

        The first question names many, to learn which may run the step at
        all. Later ones are asked once there is room: they renew the tickets
        of those endpoints, or name some that were not named before.
        """
        need = stage.step.booked
        able = [one for one in usable if need.fits_in(one.news.capacity)]
        with_room = [
            one
            for one in able
            if need.fits_in(one.free)
            and _most_further(stage, one.endpoint_id) > 0
            and not _has_ticket(stage, one.endpoint_id, now_ms)
        ]
        if not stage.asked_ids:
            return _best_known(stage, able, need)
        renewed = [
            one for one in with_room if one.endpoint_id in stage.ticket_by_id
        ]
        new = [
            one for one in with_room if one.endpoint_id not in stage.asked_ids
        ]
        if new and (stage.step.gang or not renewed):
            return renewed + _best_known(stage, new, need)
        return renewed

    def _reserve(self, stage, usable, missing, reserved):
        """Keeps room from less urgent stages where this one waits."""
        if not stage.entry.within_share:
            return
        need = stage.step.booked
        allowed = [
            one
            for one in usable
            if one.endpoint_id not in reserved
            and need.fits_in(one.news.capacity)
            and (
                not stage.queue.advice or one.endpoint_id in stage.ticket_by_id
            )
        ]
        allowed.sort(
            key=lambda one: (need - one.free).dominant_share(one.news.capacity)
        )
        for endpoint in allowed[: min(missing, MOST_RESERVED)]:
            reserved.add(endpoint.endpoint_id)


def _has_ticket(stage, endpoint_id, now_ms):
    ticket = stage.ticket_by_id.get(endpoint_id)
    return (
        ticket is not None
        and ticket.valid_until_ms > now_ms + TICKET_MARGIN_MS
    )


def _most_further(stage, endpoint_id):
    if not stage.step.most_per_endpoint:
        return len(stage.tasks)
    return stage.step.most_per_endpoint - stage.count_on(endpoint_id)


def _best_known(stage, endpoints, need):
    ranked = sorted(
        endpoints,
        key=lambda one: (
            bool(stage.step.rack) and one.rack != stage.step.rack,
            not need.fits_in(one.free),
            -one.free.dominant_share(one.news.capacity),
        ),
    )
    return ranked[:MOST_ASKED]
