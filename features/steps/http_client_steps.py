"""Steps about the HTTP client of an entry VM."""

import contextlib
import os

import behave
import gevent
import gevent.event
import gevent.server

from features.support import cells_store
from samphiregate.adapters import http
from samphiregate import errors


@behave.given("an HTTP server and a client of 1 connection to it")
def given_http(context):
    context.release = gevent.event.Event()

    context.requests = 0
    context.client_ports = set()

    def application(environ, start_response):
        context.requests += 1
        context.client_ports.add(environ["REMOTE_PORT"])
        if environ["PATH_INFO"] == "/hangs":
            context.release.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http.NoDelayServer("127.0.0.1:0", application)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    address = f"127.0.0.1:{server.server_port}"
    context.server_address = address
    context.client = http.Client(
        address,
        connections=1,
        timeout_ms=500,
    )
    context.add_cleanup(context.client.close)


@behave.when(
    "{count:d} requests are sent over a connection with descriptor "
    "{number:d} or more"
)
def when_sent_over(context, count, number):
    with contextlib.ExitStack() as stack:
        taken = 0
        while taken < number:
            taken = os.open(os.devnull, os.O_RDONLY)
            stack.callback(os.close, taken)
        for _number in range(count):
            assert context.client.request("POST", "/").status == 200


@behave.then("the server has accepted {count:d} connections")
def then_accepted(context, count):
    assert len(context.client_ports) == count, context.client_ports


@behave.when("a request fails while another waits for the connection")
def when_one_fails(context):
    def send(path):
        try:
            return context.client.request("POST", path).status
        except errors.UnavailableError as error:
            return error.ran

    hanging = gevent.spawn(send, "/hangs")
    gevent.sleep(0)
    context.waiting = gevent.spawn(send, "/answers")
    assert hanging.get(timeout=cells_store.SETTLE_S) is errors.Ran.UNKNOWN
    context.release.set()


@behave.then("the other request is answered")
def then_answered(context):
    assert context.waiting.get(timeout=cells_store.SETTLE_S) == 200


@behave.given("a server that ends each connection after the request")
def given_ending_server(context):
    context.requests = 0

    def end(sock, _address):
        if sock.recv(4096):
            context.requests += 1
        sock.close()

    listener = gevent.server.StreamServer(("127.0.0.1", 0), end)
    listener.start()
    context.add_cleanup(listener.stop, timeout=0)
    context.server_address = f"127.0.0.1:{listener.server_port}"


@behave.when(
    "a client of {connections:d} connections sends a {method} request"
)
def when_sent_to_ending(context, connections, method):
    with http.Client(
        context.server_address, connections=connections
    ) as client:
        try:
            context.failure = client.request(method, "/")
        except errors.UnavailableError as error:
            context.failure = error


@behave.then("it failed, and the server received {count:d} requests")
def then_resent(context, count):
    assert context.failure.ran is errors.Ran.UNKNOWN, context.failure
    assert context.requests == count, context.requests


@behave.given("an HTTP server and at most {most:d} clients")
def given_few_clients(context, most):
    def application(_environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http.NoDelayServer("127.0.0.1:0", application)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.server_address = f"127.0.0.1:{server.server_port}"
    context.clients = http.Clients(
        connections=2,
        connect_timeout_ms=cells_store.SETTLE_S * 1_000,
        most_clients=most,
    )
    context.add_cleanup(context.clients.__exit__)


@behave.when(
    "clients are used for {count:d} time-outs in turn, while the first is kept"
)
def when_clients_used(context, count):
    held = []
    for number in range(count):
        timeout_ms = cells_store.SETTLE_S * 1_000 + number
        client = context.clients.get(context.server_address, timeout_ms)
        assert client.request("POST", "/").status == 200
        held.append(client)
    context.client = held[0]


@behave.then("the first client has no idle connection, and still answers")
def then_dropped(context):
    assert context.client._client._connection_pool._socket_queue.empty()
    assert context.client.request("POST", "/").status == 200


@behave.then("at most {most:d} clients are held")
def then_few_clients(context, most):
    assert len(context.clients._client_by_key) <= most


@behave.when("a request is sent while another one holds the connection")
def when_none_free(context):
    with http.Client(
        context.server_address,
        connections=1,
        timeout_ms=cells_store.SETTLE_S * 1_000,
        wait_timeout_ms=100,
    ) as client:
        holding = gevent.spawn(client.request, "POST", "/hangs")
        while not context.requests:
            gevent.sleep(0.001)
        context.result = None
        try:
            client.request("POST", "/answers")
        except errors.UnavailableError as error:
            context.result = error.ran
        context.received = context.requests
        context.release.set()
        assert holding.get(timeout=cells_store.SETTLE_S).status == 200


@behave.then("it fails as not sent, and the server received {count:d} request")
def then_not_sent(context, count):
    assert context.result is errors.Ran.NO, context.result
    assert context.received == count, context.received
