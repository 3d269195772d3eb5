"""Reads decision lines back and tells the story of one request.

The lines of a request name it. Beside them stand lines that explain them
and name no request: what a VM of the story believed of its store, its lease
and its cell, and what became of endpoints that ran the request's tasks.
"""

import enum
import math

import attrs
import orjson

from samphiregate.logs import _waits

CONTEXT_MARGIN_S = 2.0  # before the first and after the last line
REPEAT_S = 2.0  # a line like one before it is left out for so long
LONG_WAIT_S = 1.0  # a shorter gap explains nothing by itself
# After these, nothing is waited for unless a run is lost.
RUNNING_EVENTS = frozenset(
    {"place wait paid", "task runs again", "tasks placed"}
)
CHOSEN_WAIT_EVENT = "place wait begun"  # explains the time until the next line
PREEMPTED_EVENT = "run preempted"
DISTURBANCES = ("runs lost", "cell taken")  # the first explains most
ACCEPTING_EVENTS = frozenset({"job accepted", "job known"})
VM_EVENTS = frozenset(
    {
        "cell failed",
        "cell left",
        "cell served",
        "cell taken",
        "data centre drained",
        "data centre empty",
        "data centre taken back",
        "lease ended",
        "lease granted",
        "lease not renewed",
        "ownership lost",
        "policy service not reached",
        "records not stored",
        "started",
        "stopping",
        "store lost",
        "store regained",
        "watch history lost",
        "watch lost",
    }
)
ENDPOINT_EVENTS = frozenset(
    {
        "endpoint draining",
        "endpoint regained",
        "endpoint unlisted",
        "endpoint unreachable",
        "runs lost",
    }
)


class Verdict(enum.Enum):
    """What became of a request."""

    REFUSED = "refused"
    IN_DOUBT = "in doubt"
    FAILED = "failed"
    CANCELLED = "cancelled"
    COMPLETED = "completed"
    UNFINISHED = "not finished"


@attrs.frozen
class Line:
    """One decision line.

    Parameters
    ----------
    time_s : float
        Unix seconds by the clock of the VM.
    vm : str
    event : str
    fields : dict
        The rest of the line.
    """

    time_s: float
    vm: str
    event: str
    fields: dict


@attrs.frozen
class Story:
    """The lines of one request, in order.

    Parameters
    ----------
    lines : list of Line
    verdict : Verdict
    decisive : int or None
        Index of the line that explains the verdict, or the longest wait.
    longest_wait_s : float
        Longest time between two lines of the request, or that a task of it
        waited for one thing.
    waits : list of Wait
        What tasks that had a run waited for until the next one.
    """

    lines: list
    verdict: Verdict
    decisive: int | None
    longest_wait_s: float
    waits: list = attrs.field(factory=list)


def parse_line(text):
    """Decodes a line, with or without a prefix of what collected it.

    Returns
    -------
    Line or None
        None for text that is no decision line.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
        return Line(
            float(fields.pop("time")),
            str(fields.pop("vm")),
            str(fields.pop("event")),
            fields,
        )
    except (orjson.JSONDecodeError, AttributeError, KeyError, TypeError):
        return None


def tell(lines, request_id):
    """Returns the story of a request.

    Parameters
    ----------
    lines : iterable of Line
        Of all VMs, in any order.
    request_id : str

    Returns
    -------
    Story or None
        None if no line names the request.
    """
    lines = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in lines if _names(line, request_id)]
    if not own:
        return None
    context = _without_repeats(_context(lines, own, request_id))
    shown = sorted(own + context, key=lambda line: line.time_s)
    verdict, cause = _judge(own)
    wait_s, during, resumed = _longest_wait(own, context)
    until_s = own[-1].time_s if _ends(own) else lines[-1].time_s
    waits = _waits.find_waits(own, context, until_s)
    longest = max(waits, key=lambda wait: wait.span_s, default=None)
    told = longest is not None and longest.span_s >= wait_s
    if told:
        wait_s = longest.span_s
    if cause is None and wait_s >= LONG_WAIT_S:
        cause = longest.line if told else None
        preempted = _preempted_before(own, resumed)
        cause = cause or preempted or min(during, key=_rank, default=resumed)
    index = None if cause is None else _index(shown, cause)
    return Story(shown, verdict, index, wait_s, waits)


def _names(line, request_id):
    return line.fields.get("request") == request_id


def _context(lines, own, request_id):
    """Yields the lines that name no request and belong to a story."""
    first_s = own[0].time_s - CONTEXT_MARGIN_S
    last_s = own[-1].time_s + CONTEXT_MARGIN_S
    vms = {line.vm for line in own}
    endpoints = {line.fields.get("endpoint") for line in own}
    for line in own:
        endpoints.update(line.fields.get("endpoints", ()))
    for line in lines:
        if line.fields.get("request"):
            continue
        of_vm = line.event in VM_EVENTS and line.vm in vms
        of_endpoint = (
            line.event in ENDPOINT_EVENTS
            and line.fields.get("endpoint") in endpoints
        )
        of_request = request_id in _jobs(line)
        concerns = of_vm or of_endpoint or of_request
        if first_s <= line.time_s <= last_s and concerns:
            yield line


def _jobs(line):
    jobs = line.fields.get("jobs")
    return jobs if isinstance(jobs, list) else ()


def _without_repeats(lines):
    """Returns lines without those that a VM said a short while before."""
    kept = []
    said_s = {}
    for line in lines:
        about = [line.fields.get(key) for key in ("endpoint", "data_centre")]
        what = (line.vm, line.event, *about)
        if line.time_s - said_s.get(what, -math.inf) >= REPEAT_S:
            kept.append(line)
            said_s[what] = line.time_s
    return kept


def _judge(own):
    """Returns the verdict, and the line that explains it if one does."""
    ends = _ends(own)
    if ends:
        verdict = _verdict_of_state(ends[-1].fields.get("state"))
        is_cause = verdict is Verdict.FAILED
        return verdict, ends[-1] if is_cause else None
    if any(line.event in ACCEPTING_EVENTS for line in own):
        return Verdict.UNFINISHED, None
    refusals = [
        line
        for line in own
        if line.event == "request refused"
        and line.fields.get("method") == "POST"
    ]
    if not refusals:
        return Verdict.UNFINISHED, None
    in_doubt = [
        line for line in refusals if line.fields.get("ran") == "unknown"
    ]
    if in_doubt:
        return Verdict.IN_DOUBT, in_doubt[-1]
    return Verdict.REFUSED, refusals[-1]


def _ends(own):
    return [line for line in own if line.event == "job ended"]


def _verdict_of_state(state):
    return next(
        (verdict for verdict in Verdict if verdict.value == state),
        Verdict.UNFINISHED,
    )


def _longest_wait(own, context):
    """Returns the longest gap between lines, and what is known of it.

    Between the start of tasks and the next line they run, unless runs were
    lost or the owner changed meanwhile and no line tells the task's own
    waits. So do those that a new owner found in the record.

    Returns
    -------
    tuple
        Seconds, the lines of the context in it, or the line that tells why
        the wait was chosen, and the line that ends it.
    """
    told = any(line.event in _waits.EVENTS for line in own)
    longest = (0.0, [], None)
    for earlier, later in zip(own, own[1:], strict=False):
        during = [
            line
            for line in context
            if earlier.time_s <= line.time_s <= later.time_s
        ]
        disturbed = any(line.event in DISTURBANCES for line in during)
        gap_s = later.time_s - earlier.time_s
        running = earlier.event in RUNNING_EVENTS or bool(
            earlier.fields.get("restored")
        )
        waits = not running or (disturbed and not told)
        if waits and gap_s > longest[0]:
            if earlier.event == CHOSEN_WAIT_EVENT:
                longest = (gap_s, [earlier], later)
            else:
                longest = (gap_s, during, later)
    return longest


def _preempted_before(own, resumed):
    """Returns the line that tells why a wait began with a stopped run.

    Parameters
    ----------
    own : list of Line
    resumed : Line or None
        The line of the request that ended the wait.

    Returns
    -------
    Line or None
    """
    preempted = None
    for line in own:
        if line is resumed:
            return preempted
        if line.event == PREEMPTED_EVENT:
            preempted = line
        elif line.event in RUNNING_EVENTS:
            preempted = None
    return None


def _rank(line):
    """Sorts lines in a wait: lost runs, then a new owner, explain most."""
    if line.event in DISTURBANCES:
        return DISTURBANCES.index(line.event)
    return len(DISTURBANCES)


def _index(lines, wanted):
    return next(i for i, line in enumerate(lines) if line is wanted)
