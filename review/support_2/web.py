"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import json
import urllib.parse

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    503: "Service Unavailable",
}
NO_ANSWER = object()  # the connection stays open and returns nothing further


class Request:
    """One request that a server has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _mark, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the body decoded from JSON; an empty dict without one."""
        return json.loads(self.body) if self.body else {}


class Server:
    """Serves one address; each connection keeps the order of its requests.

    Parameters
    ----------
    answer : coroutine function
        Takes a `Request`; returns status and document, or `NO_ANSWER`.
    """

    def __init__(self, answer):
        self._answer = answer
        self._server = None
        self._tasks = set()
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        """Listens on an address; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self

    def close(self):
        """Stops listening and closes every connection."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                result = await self._answer(request)
                if result is NO_ANSWER:
                    await reader.read()
                    return
                status, document = result
                body = json.dumps(document or {}).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def _read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _colon, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_request(reader):
    found = await _read_head(reader)
    if found is None:
        return None
    line, headers = found
    method, target, _version = line.split(" ", 2)
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


async def call(address, method, path, *, headers=None, document=None):
    """Sends one request on a new connection.

    Returns
    -------
    tuple of int and object
        Status and decoded body; status 0 if there was no whole answer.
    """
    host, _colon, port = address.rpartition(":")
    body = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": address, **(headers or {})}
    fields["Content-Length"] = str(len(body))
    fields["Connection"] = "close"
    if body:
        fields["Content-Type"] = "application/json"
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        found = await _read_head(reader)
        if found is None:
            return 0, None
        line, received = found
        length = int(received.get("content-length", 0))
        data = await reader.readexactly(length) if length else b""
        status = int(line.split(" ")[1])
        return status, json.loads(data) if data else None
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
