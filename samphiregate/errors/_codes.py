"""Stable codes of every failure that a caller or operator can see."""

import enum


class Ran(enum.Enum):
    """Whether refused or failed work was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorCode(enum.Enum):
    """Failure codes; the values are part of the public API.

    Names are stable: a code is added, never renamed or given a new meaning.
    """

    BAD_INPUT = "bad-input"
    BODY_TOO_LARGE = "body-too-large"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    DUPLICATE = "duplicate"
    INTERNAL = "internal"
    KEY_REFUSED = "key-refused"
    LEAVING = "leaving"
    LIMIT_REACHED = "limit-reached"
    NEVER_FITS = "never-fits"
    NO_RUNNER = "no-runner"
    NOT_ALLOWED = "not-allowed"
    NOT_FOUND = "not-found"
    OUTCOME_UNKNOWN = "outcome-unknown"
    OVERLOADED = "overloaded"
    RUNNER_FAILED = "runner-failed"
    SETTING = "setting"
    STALE_EPOCH = "stale-epoch"
    TIMEOUT = "timeout"
    UNAVAILABLE = "unavailable"
