"""One HTTP exchange with a runner, and the event that it ends in."""

import gevent
import orjson

from samphiregate.core import model
from samphiregate.core import requests
from samphiregate import errors

RAN_HEADER = "samphiregate-ran"
SLOTS_HEADER = "samphiregate-slots-used"
LEAVING_HEADER = "samphiregate-leaving"
REFUSED_STATUS = 503
NO_BODY_STATUSES = (204, 304)

_Outcome = model.AttemptOutcome


def execute(client, action):
    """Sends an attempt once and returns how it ended.

    Parameters
    ----------
    client : adapters.http.Client
        Connection to the runner.
    action : SendToRunner
        What to send.

    Returns
    -------
    RunnerAnswered or RunnerFailed
    """
    try:
        with gevent.Timeout(max(action.timeout_ms, 1) / 1000):
            answer = _post(client, action)
    except gevent.Timeout:
        return _failure(action, _Outcome.UNKNOWN, "no answer in time")
    except errors.UnavailableError as error:
        if error.ran is errors.Ran.NO:
            return _failure(action, _Outcome.NEVER_SENT, error.detail)
        return _failure(action, _Outcome.UNKNOWN, error.detail)
    return _end(action, answer)


def probe(client, action, timeout_ms):
    """Asks a runner for its slots in use.

    Returns
    -------
    RunnerProbed
    """
    try:
        with gevent.Timeout(timeout_ms / 1000):
            document = client.request("GET", "/slots").json()
        return requests.RunnerProbed(
            runner_id=action.runner_id,
            slots_used=int(document["used"]),
            leaving=bool(document.get("leaving", False)),
        )
    except (
        gevent.Timeout,
        errors.UnavailableError,
        orjson.JSONDecodeError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ):
        return requests.RunnerProbed(runner_id=action.runner_id)


def _post(client, action):
    headers = {
        "Content-Type": action.content_type,
        "Samphiregate-Request-Id": action.request_id,
        "Samphiregate-Deadline-Ms": str(action.timeout_ms),
    }
    return client.request(
        "POST",
        f"/requests/{action.queue}",
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
        content_type=answer.headers.get(
            "content-type", requests.BINARY_TYPE
        ),
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
