"""Calls about the state of the entry VM."""

import attrs
import orjson

from samphiregate.adapters.edge import _responses
from samphiregate import errors


class StatusApi:
    """Liveness, readiness, status and histograms.

    Parameters
    ----------
    access : Access
        Who the caller is.
    metrics : Metrics
        Source of the histograms.
    status : callable
        Returns the document of ``GET /v1/status``.
    ready : callable
        Returns whether the entry VM can serve requests.
    """

    def __init__(self, *, access, metrics, status, ready):
        self._access = access
        self._metrics = metrics
        self._status = status
        self._ready = ready

    def live(self):
        """Answers as long as the loop runs."""
        return _responses.json_response({"live": True})

    def ready(self):
        """Answers 503 while the entry VM should get no requests."""
        ready = bool(self._ready())
        return _responses.json_response(
            {"ready": ready}, 200 if ready else 503
        )

    def status(self, environ):
        """Returns the state of the entry VM, to operators only."""
        if not self._access.is_operator(environ):
            raise errors.SamphiregateError(
                errors.ErrorCode.NOT_ALLOWED,
                "the status is shown to the operators' networks only",
            )
        return _encoded(self._status())

    def histograms(self, environ):
        """Returns the caller's histograms; to operators, those of all."""
        team = self._access.team_or_none(environ)
        if team is None and not self._access.is_operator(environ):
            team = self._access.team_of(environ)
        shown = [
            attrs.asdict(summary)
            for summary in self._metrics.histograms()
            if team is None or summary.team == team
        ]
        return _encoded({"histograms": shown})


def _encoded(document):
    body = orjson.dumps(
        document, default=_plain, option=orjson.OPT_NON_STR_KEYS
    )
    return _responses.Response(200, body)


def _plain(value):
    if attrs.has(type(value)):
        return attrs.asdict(value)
    return str(value)
