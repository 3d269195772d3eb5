"""HTTP responses, and problem documents for every refusal."""

import http

import attrs
import orjson

from samphiregate import errors

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
PROBLEM_URN = "urn:samphiregate:problem:"
OVERLOADED_RETRY_MS = 1_000

_Code = errors.ErrorCode

STATUS_BY_CODE = {
    _Code.BAD_INPUT: 400,
    _Code.BODY_TOO_LARGE: 413,
    _Code.CANCELLED: 409,
    _Code.CONFLICT: 409,
    _Code.DEADLINE_EXCEEDED: 504,
    _Code.DUPLICATE: 409,
    _Code.INTERNAL: 500,
    _Code.KEY_REFUSED: 401,
    _Code.LEAVING: 503,
    _Code.LIMIT_REACHED: 429,
    _Code.NEVER_FITS: 422,
    _Code.NO_RUNNER: 503,
    _Code.NOT_ALLOWED: 403,
    _Code.NOT_FOUND: 404,
    _Code.OUTCOME_UNKNOWN: 502,
    _Code.OVERLOADED: 503,
    _Code.RUNNER_FAILED: 502,
    _Code.SETTING: 500,
    _Code.STALE_EPOCH: 503,
    _Code.TIMEOUT: 408,
    _Code.UNAVAILABLE: 503,
}


@attrs.frozen
class Response:
    """A whole HTTP response.

    Parameters
    ----------
    headers : tuple of tuple of str
        Further header names and values.
    """

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()

    def status_line(self):
        """Returns the status with its reason phrase."""
        try:
            phrase = http.HTTPStatus(self.status).phrase
        except ValueError:
            phrase = "Unknown"
        return f"{self.status} {phrase}"

    def header_list(self, closing=False):
        """Returns all headers.

        Parameters
        ----------
        closing : bool
            Whether the connection is closed afterwards.
        """
        headers = [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
            *self.headers,
        ]
        if closing:
            headers.append(("Connection", "close"))
        return headers


def json_response(document, status=200):
    """Returns a response with a JSON document."""
    return Response(status, orjson.dumps(document))


def problem(
    code,
    *,
    ran=errors.Ran.NO,
    detail="",
    retry_after_ms=None,
    status=None,
    headers=(),
):
    """Returns a response with a problem document.

    Parameters
    ----------
    code : ErrorCode
        Stable code.
    ran : Ran
        Whether the work was executed.
    detail : str
        One sentence for a person.
    retry_after_ms : int or None
        When a retry is sensible.
    status : int or None
        HTTP status, if it is not that of the code.

    References
    ----------
    RFC 9457, Problem Details for HTTP APIs.
    """
    status = status or STATUS_BY_CODE[code]
    document = {
        "type": PROBLEM_URN + code.value,
        "title": code.value.replace("-", " "),
        "status": status,
        "code": code.value,
        "ran": ran.value,
        "detail": detail,
        "retry_after_ms": retry_after_ms,
    }
    headers = (*headers, ("Samphiregate-Ran", ran.value))
    if retry_after_ms is not None:
        seconds = -(-retry_after_ms // 1000)
        headers = (*headers, ("Retry-After", str(seconds)))
    if code is _Code.KEY_REFUSED:
        headers = (*headers, ("WWW-Authenticate", "Bearer"))
    return Response(status, orjson.dumps(document), PROBLEM_TYPE, headers)


def problem_of(error):
    """Returns the problem document of a `SamphiregateError`."""
    return problem(
        error.code,
        ran=error.ran,
        detail=error.detail,
        retry_after_ms=error.retry_after_ms,
    )


def unread_problem(status_line):
    """Returns a whole HTTP message that refuses what can't be read.

    Parameters
    ----------
    status_line : str
        Status code and reason phrase.
    """
    status = int(status_line.partition(" ")[0])
    if status == STATUS_BY_CODE[_Code.OVERLOADED]:
        response = problem(
            _Code.OVERLOADED,
            detail="too many callers at a time",
            retry_after_ms=OVERLOADED_RETRY_MS,
        )
    else:
        response = problem(
            _Code.BAD_INPUT, detail="the head is not valid", status=status
        )
    headers = response.header_list(closing=True)
    lines = [f"HTTP/1.1 {status_line}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
