"""Calls about jobs."""

from samphiregate.adapters.edge import _documents
from samphiregate.adapters.edge import _headers
from samphiregate.adapters.edge import _responses
from samphiregate.core import jobs
from samphiregate import errors

CALL_TIMEOUT_MS = 30_000
MOST_WAIT_MS = 60_000
MOST_IDEMPOTENCY_KEY_CHARACTERS = 128
MOST_JOB_ID_CHARACTERS = 256


class JobsApi:
    """Submits, lists, shows and cancels jobs.

    Parameters
    ----------
    access : Access
        Who the caller is.
    bodies : BodyReader
        Reads bodies.
    calls : Calls
        Hands events to the state machines.
    """

    def __init__(self, *, access, bodies, calls):
        self._access = access
        self._bodies = bodies
        self._calls = calls

    def submit(self, environ):
        """Submits the job that the body describes."""
        team = self._access.team_of(environ)
        spec = _documents.job_spec(self._bodies.read(environ), team)
        call_id = self._calls.next_id()
        event = jobs.SubmitJob(
            call_id=call_id,
            spec=spec,
            idempotency_key=_idempotency_key(environ),
        )
        answer = self._ask(environ, event, ran=errors.Ran.UNKNOWN)
        return _one_job(answer, 201)

    def list_jobs(self, environ):
        """Lists the jobs of the caller's team."""
        team = self._access.team_of(environ)
        event = jobs.ListJobs(call_id=self._calls.next_id(), team=team)
        answer = self._ask(environ, event)
        documents = [_documents.job_document(job) for job in answer.jobs]
        return _responses.json_response(
            {"jobs": documents, "complete": answer.complete}
        )

    def show(self, environ, job_id, query):
        """Shows a job, once it has ended or the wait is over."""
        team = self._access.team_of(environ)
        wait_ms = _headers.wait_ms(query, MOST_WAIT_MS)
        event = jobs.ShowJob(
            call_id=self._calls.next_id(),
            team=team,
            job_id=_checked_id(job_id),
            wait_ms=wait_ms,
        )
        return _one_job(self._ask(environ, event, wait_ms=wait_ms), 200)

    def cancel(self, environ, job_id):
        """Cancels a job."""
        team = self._access.team_of(environ)
        event = jobs.CancelJob(
            call_id=self._calls.next_id(),
            team=team,
            job_id=_checked_id(job_id),
        )
        answer = self._ask(environ, event, ran=errors.Ran.UNKNOWN)
        return _one_job(answer, 200)

    def _ask(self, environ, event, *, wait_ms=0, ran=errors.Ran.NO):
        """Returns the answer; a key withdrawn meanwhile gets none.

        Raises
        ------
        SamphiregateError
            If the call failed or was not answered.
        """
        answer = self._calls.ask(
            event.call_id, event, wait_ms + CALL_TIMEOUT_MS
        )
        if answer is None:
            raise errors.UnavailableError("no answer came", ran=ran)
        if answer.error is not None:
            raise errors.SamphiregateError(
                answer.error, answer.detail, ran=answer.ran
            )
        self._access.team_of(environ)
        return answer


def _one_job(answer, status):
    document = _documents.job_document(answer.jobs[0])
    return _responses.json_response(document, status)


def _idempotency_key(environ):
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MOST_IDEMPOTENCY_KEY_CHARACTERS:
        raise errors.BadInputError("Idempotency-Key is too long")
    return key


def _checked_id(job_id):
    if len(job_id) > MOST_JOB_ID_CHARACTERS:
        raise errors.SamphiregateError(
            errors.ErrorCode.NOT_FOUND, "no such job"
        )
    return job_id
