"""Client of the callers' API of one entry VM."""

import orjson

from samphiregate.adapters import http
from samphiregate import errors


class EntryClient:
    """Calls one entry VM; a context manager.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` of the callers' API.
    key : str
        The team's key; empty to send none.
    timeout_ms : int
        Longest wait for an answer.
    """

    def __init__(self, endpoint, *, key="", timeout_ms=10_000):
        self._client = http.Client(
            endpoint, connections=1, timeout_ms=timeout_ms
        )
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._client.close()

    def send(self, method, path, *, body=b"", headers=None):
        """Makes one call and returns the `Answer`, whatever its status."""
        return self._client.request(
            method,
            path,
            body=body,
            headers={**self._headers, **(headers or {})},
        )

    def call(self, method, path, document=None, *, headers=None):
        """Makes one call and returns the document that it is answered with.

        Raises
        ------
        SamphiregateError
            With the code, and whether it ran, as the entry VM tells it.
        """
        sent = dict(headers or {})
        body = b""
        if document is not None:
            sent["Content-Type"] = "application/json"
            body = orjson.dumps(document)
        answer = self.send(method, path, body=body, headers=sent)
        if answer.status >= 400:
            raise error_of(answer)
        return read_document(answer)


def read_document(answer):
    """Returns the JSON document of an answer.

    Raises
    ------
    UnavailableError
        If it is no JSON.
    """
    try:
        return answer.json() if answer.body else {}
    except orjson.JSONDecodeError as error:
        raise errors.UnavailableError(
            "the entry VM's answer is unreadable", ran=errors.Ran.UNKNOWN
        ) from error


def is_problem(answer):
    """Returns whether an answer is a refusal of the entry VM itself."""
    kind = answer.headers.get("content-type", "")
    return kind.startswith("application/problem+json")


def error_of(answer):
    """Returns the error that a problem document describes.

    A code that this version does not know counts as `ErrorCode.INTERNAL`.
    """
    try:
        problem = answer.json()
    except orjson.JSONDecodeError:
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    detail = problem.get("detail") or problem.get("title")
    return errors.SamphiregateError(
        _member(errors.ErrorCode, problem.get("code"), _UNKNOWN_CODE),
        detail or f"refused with status {answer.status}",
        ran=_member(errors.Ran, problem.get("ran"), errors.Ran.UNKNOWN),
        retry_after_ms=problem.get("retry_after_ms"),
    )


def _member(kind, value, default):
    """Returns the member of an enum that has a value, or the default."""
    return next((member for member in kind if member.value == value), default)


_UNKNOWN_CODE = errors.ErrorCode.INTERNAL
