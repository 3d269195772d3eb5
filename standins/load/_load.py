"""Open-loop request loads: a late send counts as waiting time."""

import collections
import enum
import random
import time

import attrs
import gevent
import gevent.pool
from hdrh import histogram
import orjson

from samphiregate import errors
from standins.load import _balancer

MAX_IN_FLIGHT = 2_000
LONGEST_MS = 600_000
PROGRESS_S = 0.5
MILLISECONDS = 1_000


class Outcome(enum.Enum):
    """How a request ended, as its caller sees it."""

    ANSWERED = "answered"
    WRONG_BODY = "wrong-body"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CUT = "cut"
    NO_ENTRY = "no-entry"


@attrs.frozen
class RequestLoad:
    """A stream of requests to one queue.

    Parameters
    ----------
    team : str
        For the results only.
    queue : str
        Queue that the requests go to.
    key : str
        Key that comes with each; empty for none.
    rate : float
        Requests a second, at random (Poisson) times.
    seconds : float
        Length of the load.
    work_ms : int
        Time that the runner stand-in works on each.
    body_bytes : int
        Size of each body.
    idempotent : bool
        Whether the requests are marked as idempotent.
    deadline_ms : int
        Deadline of each, from its due time.
    """

    team: str
    queue: str
    key: str = ""
    rate: float = 10.0
    seconds: float = 1.0
    work_ms: int = 10
    body_bytes: int = 64
    idempotent: bool = False
    deadline_ms: int = 10_000


@attrs.define
class LoadResult:
    """What came back of one load.

    Parameters
    ----------
    counts_by_outcome : Counter
        Requests by `Outcome`.
    codes : Counter
        Refusals by their stable code.
    waits : HdrHistogram
        Milliseconds from the due time of a request to its whole answer.
    """

    load: RequestLoad
    sent: int = 0
    counts_by_outcome: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    codes: collections.Counter = attrs.field(factory=collections.Counter)
    waits: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, LONGEST_MS, 3)
    )


def run_loads(loads, endpoints, *, random_state, on_progress=None):
    """Sends several loads side by side and waits for all answers.

    Parameters
    ----------
    loads : iterable of RequestLoad
    endpoints : callable
        Returns the ``ip:port`` of each entry VM that exists now; those that
        are ready are taken in turn.
    random_state : random.Random
        Source of the times between requests.
    on_progress : callable or None
        Called with the list of results twice a second.

    Returns
    -------
    list of LoadResult
        In the order of `loads`.
    """
    results = [LoadResult(load) for load in loads]
    with _balancer.Balancer(endpoints) as balancer:
        senders = [
            gevent.spawn(
                _send_all,
                result,
                balancer,
                random.Random(random_state.random()),
            )
            for result in results
        ]
        while len(gevent.joinall(senders, timeout=PROGRESS_S)) < len(senders):
            if on_progress:
                on_progress(results)
        for sender in senders:
            sender.get()
    return results


def send_at_once(load, count, endpoints):
    """Sends requests of a load all at the same time.

    Parameters
    ----------
    load : RequestLoad
        What is sent; its rate and length do not count.
    count : int
        Number of requests.
    endpoints : callable
        As in `run_loads`.

    Returns
    -------
    LoadResult
    """
    result = LoadResult(load, sent=count)
    with _balancer.Balancer(endpoints) as balancer:
        due = time.monotonic()
        sends = [
            gevent.spawn(
                _send_one, result, balancer.next_client(), number, due
            )
            for number in range(count)
        ]
        gevent.joinall(sends, raise_error=True)
    return result


def _send_all(result, balancer, random_state):
    load = result.load
    pool = gevent.pool.Pool(MAX_IN_FLIGHT)
    start = time.monotonic()
    due = start
    while True:
        due += random_state.expovariate(load.rate)
        if due - start > load.seconds:
            break
        gevent.sleep(max(due - time.monotonic(), 0))
        result.sent += 1
        client = balancer.next_client()
        pool.spawn(_send_one, result, client, result.sent, due)
    pool.join()


def _send_one(result, client, number, due):
    load = result.load
    if client is None:
        result.counts_by_outcome[Outcome.NO_ENTRY] += 1
        return
    body = _body(load, number)
    headers = {
        "Content-Type": "application/json",
        "Samphiregate-Deadline-Ms": str(load.deadline_ms),
        "Samphiregate-Idempotent": str(load.idempotent).lower(),
    }
    if load.key:
        headers["Authorization"] = f"Bearer {load.key}"
    path = f"/v1/queues/{load.queue}/requests"
    try:
        answer = client.request("POST", path, body=body, headers=headers)
    except errors.UnavailableError:
        result.counts_by_outcome[Outcome.CUT] += 1
        return
    elapsed_ms = (time.monotonic() - due) * MILLISECONDS
    outcome = _judge(answer, body, result.codes)
    result.counts_by_outcome[outcome] += 1
    if outcome is Outcome.ANSWERED:
        result.waits.record_value(min(max(int(elapsed_ms), 1), LONGEST_MS))


def _body(load, number):
    mark = f"{load.team}/{load.queue}/{number}"
    body = orjson.dumps({"work_ms": load.work_ms, "mark": mark})
    return body.ljust(load.body_bytes)


def _judge(answer, body, codes):
    if answer.status == 200:
        request_id = answer.headers.get("samphiregate-request-id", "")
        same = answer.body == request_id.encode() + b"\n" + body
        return Outcome.ANSWERED if same else Outcome.WRONG_BODY
    try:
        problem = orjson.loads(answer.body)
        codes[problem["code"]] += 1
        unknown = problem["ran"] != errors.Ran.NO.value
    except (orjson.JSONDecodeError, KeyError, TypeError):
        codes[str(answer.status)] += 1
        unknown = True
    return Outcome.UNKNOWN if unknown else Outcome.REFUSED
