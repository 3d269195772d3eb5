"""One HTTP exchange with a runner, and the event that it ends in."""

import functools
from urllib import parse

from absl import logging
import gevent

from samphiregate.core import model
from samphiregate.core import requests
from samphiregate import errors

RAN_HEADER = "samphiregate-ran"
SLOTS_HEADER = "samphiregate-slots-used"
LEAVING_HEADER = "samphiregate-leaving"
REFUSED_STATUS = 503
NO_BODY_STATUSES = (204, 304)
PROBE_TIMEOUT_MS = 2_000
PROBE_ERRORS = (errors.UnavailableError, KeyError, TypeError, ValueError)

_Outcome = model.AttemptOutcome


@functools.singledispatch
def carry_out(action, client, waited_ms):
    """Carries an action out once and returns the event that it ends in.

    Parameters
    ----------
    action : SendToRunner or ProbeRunner
        What to send.
    client : adapters.http.Client
        Connection to the runner.
    waited_ms : int
        Time that the action waited for the connection.

    Returns
    -------
    RunnerAnswered, RunnerFailed or RunnerProbed
    """
    raise TypeError(f"not an action for a runner: {action!r}")


@carry_out.register
def _(action: requests.SendToRunner, client, waited_ms):
    remaining_ms = action.timeout_ms - waited_ms
    if remaining_ms <= 0:
        return _failure(action, _Outcome.NEVER_SENT, "no free connection")
    try:
        with gevent.Timeout(remaining_ms / 1000):
            answer = _post(client, action, remaining_ms)
    except gevent.Timeout:
        return _failure(action, _Outcome.UNKNOWN, "no answer in time")
    except errors.UnavailableError as error:
        if error.ran is errors.Ran.NO:
            return _failure(action, _Outcome.NEVER_SENT, error.detail)
        return _failure(action, _Outcome.UNKNOWN, error.detail)
    except Exception as error:
        logging.exception("runners: an attempt failed: %s.", type(error))
        return _failure(action, _Outcome.UNKNOWN, "the exchange failed")
    return _end(action, answer)


@carry_out.register
def _(action: requests.ProbeRunner, client, waited_ms):
    try:
        with gevent.Timeout(PROBE_TIMEOUT_MS / 1000):
            answer = client.request("GET", "/slots")
        return _probed(action, answer.json())
    except (*PROBE_ERRORS, gevent.Timeout):
        return requests.RunnerProbed(runner_id=action.runner_id)


def is_whole(event):
    """Returns whether the connection is at the end of a whole answer."""
    if isinstance(event, requests.RunnerFailed):
        return event.outcome is _Outcome.REFUSED
    if isinstance(event, requests.RunnerProbed):
        return event.slots_used is not None
    return True


def _probed(action, document):
    return requests.RunnerProbed(
        runner_id=action.runner_id,
        slots_used=int(document["used"]),
        leaving=bool(document.get("leaving", False)),
    )


def _post(client, action, remaining_ms):
    headers = {
        "Content-Type": action.content_type,
        "Samphiregate-Request-Id": action.request_id,
        "Samphiregate-Deadline-Ms": str(remaining_ms),
    }
    return client.request(
        "POST",
        f"/requests/{parse.quote(action.queue, safe='')}",
        body=action.body,
        headers=headers,
    )


def _end(action, answer):
    leaving = answer.headers.get(LEAVING_HEADER) == "true"
    slots_used = _whole_number(answer.headers.get(SLOTS_HEADER))
    if _is_refusal(answer):
        return requests.RunnerFailed(
            request_id=action.request_id,
            attempt=action.attempt,
            runner_id=action.runner_id,
            outcome=_Outcome.REFUSED,
            detail="the runner refused it",
            slots_used=slots_used,
            leaving=leaving,
        )
    if not _has_known_end(answer):
        return _failure(action, _Outcome.UNKNOWN, "an answer without length")
    return requests.RunnerAnswered(
        request_id=action.request_id,
        attempt=action.attempt,
        runner_id=action.runner_id,
        status=answer.status,
        content_type=answer.headers.get("content-type", requests.BINARY_TYPE),
        body=answer.body,
        slots_used=slots_used,
        leaving=leaving,
    )


def _is_refusal(answer):
    ran = answer.headers.get(RAN_HEADER)
    return answer.status == REFUSED_STATUS and ran == errors.Ran.NO.value


def _has_known_end(answer):
    """Returns whether a cut answer could have been told from a whole one."""
    return (
        answer.status in NO_BODY_STATUSES
        or "content-length" in answer.headers
        or "transfer-encoding" in answer.headers
    )


def _failure(action, outcome, detail):
    return requests.RunnerFailed(
        request_id=action.request_id,
        attempt=action.attempt,
        runner_id=action.runner_id,
        outcome=outcome,
        detail=detail,
    )


def _whole_number(text):
    return int(text) if text and text.isdecimal() else None
