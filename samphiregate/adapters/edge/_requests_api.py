"""Calls about requests and their queues."""

from samphiregate.adapters.edge import _headers
from samphiregate.adapters.edge import _responses
from samphiregate.core import model
from samphiregate.core import requests
from samphiregate import errors
from samphiregate import timers

ANSWER_MARGIN_MS = 2_000


class RequestsApi:
    """Sends requests to queues, and lists the queues.

    Parameters
    ----------
    access : Access
        Who the caller is.
    bodies : BodyReader
        Reads bodies.
    calls : Calls
        Hands events to the state machines.
    configuration_replica : ConfigurationReplica
        Queues and plans in force.
    metrics : Metrics
        Where waits and run times are recorded.
    longest_deadline_ms : int
        Longest time that a caller may give.
    """

    def __init__(
        self,
        *,
        access,
        bodies,
        calls,
        configuration_replica,
        metrics,
        longest_deadline_ms,
    ):
        self._longest_deadline_ms = longest_deadline_ms
        self._access = access
        self._bodies = bodies
        self._calls = calls
        self._replica = configuration_replica
        self._metrics = metrics

    def send(self, environ, queue):
        """Sends a request to a queue and returns the response."""
        key_hash = _headers.key_hash(environ)
        limit_ms = _headers.deadline_ms(environ, self._longest_deadline_ms)
        idempotent = _headers.idempotent(environ)
        content_type = _headers.content_type(environ)
        deadline_ms = timers.monotonic_ms() + limit_ms
        admitted = requests.admit(queue, key_hash, self._replica)
        if isinstance(admitted, requests.Refusal):
            return self._refuse(admitted, "")
        body = self._bodies.read(environ)
        request_id = self._calls.next_id()
        event = requests.RequestArrived(
            request_id=request_id,
            queue=queue,
            key_hash=key_hash,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
            content_type=content_type,
            body=body,
        )
        answer = self._calls.ask(
            request_id,
            event,
            limit_ms + ANSWER_MARGIN_MS,
            environ.get("samphiregate.socket"),
        )
        if answer is None:
            return self._give_up(request_id)
        return self._respond(answer)

    def list_queues(self, environ):
        """Returns the queues that the caller may use."""
        team = self._access.team_or_none(environ)
        configuration = self._replica.configuration
        allowed = _queues_of(team, configuration)
        queues = [
            {
                "name": queue.name,
                "service": queue.service,
                "open_to_all": queue.open_to_all,
            }
            for queue in configuration.queues_by_name.values()
            if queue.open_to_all or queue.name in allowed
        ]
        return _responses.json_response({"queues": queues})

    def _respond(self, answer):
        if answer.refusal is not None:
            return self._refuse(answer.refusal, answer.request_id)
        request_class = model.WorkClass.REQUEST.value
        self._metrics.count("requests.answered")
        self._metrics.observe_wait(answer.team, request_class, answer.wait_ms)
        self._metrics.observe_run(answer.team, request_class, answer.run_ms)
        return _responses.Response(
            answer.status,
            answer.body,
            answer.content_type,
            _id_headers(answer.request_id, errors.Ran.YES),
        )

    def _refuse(self, refusal, request_id):
        self._metrics.count(f"requests.refused.{refusal.code.value}")
        return _responses.problem(
            refusal.code,
            ran=refusal.ran,
            detail=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
            headers=_id_headers(request_id),
        )

    def _give_up(self, request_id):
        """Ends a call whose caller is gone, or that got no answer."""
        self._calls.tell(requests.CallerDisconnected(request_id))
        self._metrics.count("requests.given-up")
        return _responses.problem(
            errors.ErrorCode.OUTCOME_UNKNOWN,
            ran=errors.Ran.UNKNOWN,
            detail="no answer came",
            headers=_id_headers(request_id),
        )


def _id_headers(request_id, ran=None):
    headers = []
    if request_id:
        headers.append(("Samphiregate-Request-Id", request_id))
    if ran is not None:
        headers.append(("Samphiregate-Ran", ran.value))
    return tuple(headers)


def _queues_of(team_name, configuration):
    team = configuration.teams_by_name.get(team_name)
    plan = team and configuration.plans_by_name.get(team.plan)
    return plan.queues if plan else ()
