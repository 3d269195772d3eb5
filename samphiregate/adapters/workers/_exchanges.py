"""Sends exchanges to workers and delivers their outcome."""

from absl import logging
import gevent
from gevent import queue as gevent_queue
import orjson

from samphiregate.adapters import http
from samphiregate.adapters.workers import _codec
from samphiregate.core import model
from samphiregate.core import workers
from samphiregate import errors

EXCHANGE_PATH = "/exchange"
STATUS_OK = 200
HEADERS = {"Content-Type": "application/json"}


class WorkerExchanges:
    """Carries out `ExchangeWithWorker`; a context manager.

    Parameters
    ----------
    deliver : callable
        Takes `WorkerAnswered` and `WorkerUnreachable`.
    timeout_ms : int
        Longest wait for connecting and for each part of an answer; less
        than a third of the lease.
    senders : int
        Exchanges under way at a time; further ones wait. A worker that does
        not answer holds one of them for `timeout_ms`.
    clients_max : int
        Workers to which a connection is kept open.

    Notes
    -----
    The owner of a worker has at most one exchange with it under way. An
    exchange is never sent twice. After a time-out its connection is closed,
    and the next exchange makes a new one.
    """

    def __init__(
        self, *, deliver, timeout_ms=2_000, senders=64, clients_max=1_024
    ):
        self._deliver = deliver
        self._timeout_ms = timeout_ms
        self._senders = senders
        self._clients_max = clients_max
        self._clients_by_endpoint = {}
        self._queue = gevent_queue.Queue()
        self._greenlets = []

    def __enter__(self):
        self._greenlets = [
            gevent.spawn(self._run) for _sender in range(self._senders)
        ]
        return self

    def __exit__(self, *exc_info):
        gevent.killall(self._greenlets)
        for client in self._clients_by_endpoint.values():
            client.close()
        self._clients_by_endpoint.clear()

    def perform(self, exchange):
        """Takes an exchange; its outcome is delivered later."""
        self._queue.put(exchange)

    def _run(self):
        while True:
            exchange = self._queue.get()
            try:
                event = self._outcome(exchange)
            except Exception as error:
                logging.error("workers: an answer is unreadable: %r.", error)
                event = _unreachable(exchange, model.AttemptOutcome.UNKNOWN)
            self._deliver(event)

    def _outcome(self, exchange):
        address, _slash, path = exchange.endpoint.partition("/")
        prefix = f"/{path}" if path else ""
        body = orjson.dumps(_codec.encode_exchange(exchange))
        try:
            answer = self._client(address).request(
                "POST", prefix + EXCHANGE_PATH, body=body, headers=HEADERS
            )
        except errors.UnavailableError as error:
            if error.ran is errors.Ran.NO:
                outcome = model.AttemptOutcome.NEVER_SENT
            else:
                outcome = model.AttemptOutcome.UNKNOWN
            return _unreachable(exchange, outcome)
        if answer.status != STATUS_OK:
            return _unreachable(exchange, model.AttemptOutcome.UNKNOWN)
        return workers.WorkerAnswered(
            exchange.worker_id,
            exchange.epoch,
            exchange.sequence,
            _codec.decode_report(answer.json()),
        )

    def _client(self, address):
        client = self._clients_by_endpoint.pop(address, None)
        if client is None:
            client = http.Client(
                address,
                connections=self._senders,
                timeout_ms=self._timeout_ms,
            )
        self._clients_by_endpoint[address] = client
        if len(self._clients_by_endpoint) > self._clients_max:
            oldest = next(iter(self._clients_by_endpoint))
            self._clients_by_endpoint.pop(oldest).close()
        return client


def _unreachable(exchange, outcome):
    return workers.WorkerUnreachable(
        exchange.worker_id, exchange.epoch, exchange.sequence, outcome
    )
