"""The WSGI application: finds the call that a path names."""

from urllib import parse

from absl import logging

from samphiregate.adapters.edge import _responses
from samphiregate import errors


class EdgeApplication:
    """Answers every call; no exception leaves it.

    Parameters
    ----------
    requests_api : RequestsApi
        Calls about requests.
    jobs_api : JobsApi
        Calls about jobs.
    status_api : StatusApi
        Calls about the entry VM.
    closing : callable
        Returns whether connections are closed after each answer.
    """

    def __init__(self, *, requests_api, jobs_api, status_api, closing):
        self._requests = requests_api
        self._jobs = jobs_api
        self._status = status_api
        self._closing = closing
        self._plain_calls = {
            ("GET", "/live"): lambda environ: status_api.live(),
            ("GET", "/ready"): lambda environ: status_api.ready(),
            ("GET", "/v1/status"): status_api.status,
            ("GET", "/v1/histograms"): status_api.histograms,
            ("GET", "/v1/queues"): requests_api.list_queues,
            ("POST", "/v1/jobs"): jobs_api.submit,
            ("GET", "/v1/jobs"): jobs_api.list_jobs,
        }

    def __call__(self, environ, start_response):
        """Serves one call; see PEP 3333."""
        response = self._respond(environ)
        headers = response.header_list(self._closing())
        start_response(response.status_line(), headers)
        return [response.body]

    def _respond(self, environ):
        try:
            return self._call(environ)
        except errors.SamphiregateError as error:
            return _responses.problem_of(error)
        except Exception as error:
            logging.exception("edge: a call failed: %s.", type(error))
            return _responses.problem(
                errors.ErrorCode.INTERNAL,
                ran=errors.Ran.UNKNOWN,
                detail="the entry VM failed; the work may have run",
            )

    def _call(self, environ):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        call = self._plain_calls.get((method, path))
        if call is not None:
            return call(environ)
        parts = path.split("/")[1:]
        if len(parts) == 4 and _matches(parts, "v1", "queues", "", "requests"):
            if method == "POST":
                return self._requests.send(environ, parts[2])
        if len(parts) == 3 and _matches(parts, "v1", "jobs", ""):
            return self._job_call(method, environ, parts[2])
        raise _not_found()

    def _job_call(self, method, environ, job_id):
        if method == "GET":
            query = parse.parse_qs(environ["QUERY_STRING"])
            return self._jobs.show(environ, job_id, query)
        if method == "DELETE":
            return self._jobs.cancel(environ, job_id)
        raise _not_found()


def _matches(parts, *pattern):
    """Returns whether a path fits; an empty part stands for any name."""
    return all(
        part == wanted or (not wanted and part)
        for part, wanted in zip(parts, pattern)
    )


def _not_found():
    return errors.SamphiregateError(
        errors.ErrorCode.NOT_FOUND, "no such call: see the callers' page"
    )
