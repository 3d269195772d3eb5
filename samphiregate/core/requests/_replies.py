"""Messages that end an attempt at its owner."""

from samphiregate.core import base
from samphiregate.core.requests import _messages
from samphiregate import errors

DETAILS_BY_CODE = {
    errors.ErrorCode.CANCELLED: "the caller is no longer waiting",
    errors.ErrorCode.DEADLINE_EXCEEDED: "not started before the deadline",
    errors.ErrorCode.KEY_REFUSED: "the key was withdrawn",
    errors.ErrorCode.LEAVING: "the entry VM is leaving",
    errors.ErrorCode.NO_RUNNER: "the entry VM owns no usable runner",
    errors.ErrorCode.OVERLOADED: "the queue or the runners are full",
    errors.ErrorCode.RUNNER_FAILED: "the runners could not be reached",
}


def refuse(attempt, code, retry_after_ms=None, load=None):
    """Returns the message that an attempt was not and won't be executed."""
    message = _messages.RequestRefused(
        request_id=attempt.message.request_id,
        attempt=attempt.message.attempt,
        code=code,
        detail=DETAILS_BY_CODE.get(code, ""),
        retry_after_ms=retry_after_ms,
        load=load,
    )
    return base.SendToPeer(attempt.sender, message)


def finish(attempt, outcome, run_ms, **answer):
    """Returns the message that an attempt sent to a runner has ended."""
    message = _messages.RequestFinished(
        request_id=attempt.message.request_id,
        attempt=attempt.message.attempt,
        outcome=outcome,
        run_ms=run_ms,
        **answer,
    )
    return base.SendToPeer(attempt.sender, message)
