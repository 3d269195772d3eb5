"""What callers may send on the wire, from rubbish to floods."""

PATH = b"/v1/queues/holds/requests"
KEY = b"Authorization: Bearer huts\r\n"
MOST_BODY_BYTES = 4_000


def request(
    headers=b"", body=b"", method=b"POST", path=PATH, key=KEY, length=True
):
    """Returns the bytes of a request."""
    if length:
        headers += b"Content-Length: %d\r\n" % len(body)
    line = method + b" " + path + b" HTTP/1.1\r\nHost: test\r\n"
    return line + key + headers + b"\r\n" + body


def chunked(chunks):
    """Returns the bytes of a request with chunks as they are given."""
    headers = b"Transfer-Encoding: chunked\r\n"
    return request(headers, length=False) + chunks


def flood(count, size):
    """Returns many headers."""
    lines = (b"X-%d: %s\r\n" % (n, b"x" * size) for n in range(count))
    return b"".join(lines)


def with_length(text):
    """Returns a request with a Content-Length as it is given."""
    headers = b"Content-Length: " + text + b"\r\n"
    return request(headers, length=False) + b"body"


INPUTS_BY_NAME = {
    "a request line of rubbish": b"\x00\xff rubbish\r\n\r\n",
    "a request line without end": b"GET /" + b"x" * 9_000,
    "an unknown HTTP version": b"GET /live HTTP/7.1\r\n\r\n",
    "200 headers": request(flood(200, 1)),
    "a header of 60000 bytes": request(flood(1, 60_000)),
    "headers of 40000 bytes": request(flood(40, 1_000)),
    "a negative length": with_length(b"-5"),
    "a length that is no number": with_length(b"four"),
    "a length with a sign": with_length(b"+4"),
    "a body cut short": with_length(b"100"),
    "a body longer than allowed": request(body=b"x" * (MOST_BODY_BYTES + 1)),
    "a length beyond the bound": with_length(b"9999999999"),
    "chunks longer than allowed": chunked(
        b"1000\r\n" + b"x" * 4_096 + b"\r\n0\r\n\r\n"
    ),
    "chunks that are not valid": chunked(b"zz\r\nbody\r\n0\r\n\r\n"),
    "chunks cut short": chunked(b"ff\r\nbody"),
    "a body that stops coming": with_length(b"100"),
    "an unknown path": request(path=b"/v2/nothing"),
    "a method that has no meaning": request(method=b"PATCH"),
    "an unknown queue": request(path=b"/v1/queues/none/requests"),
    "a key of the wrong kind": request(key=b"Authorization: Basic aa\r\n"),
    "a wrong key": request(key=b"Authorization: Bearer nobody\r\n"),
    "a wrong key and a long body": request(
        key=b"Authorization: Bearer nobody\r\n", body=b"x" * 500_000
    ),
    "no key": request(key=b""),
    "a deadline that is negative": request(
        b"Samphiregate-Deadline-Ms: -5\r\n"
    ),
    "a deadline that is NaN": request(b"Samphiregate-Deadline-Ms: NaN\r\n"),
    "a deadline of 10 digits": request(
        b"Samphiregate-Deadline-Ms: 9999999999\r\n"
    ),
    "a type with control codes": request(b"Content-Type: a\x01b\r\n"),
    "idempotent maybe": request(b"Samphiregate-Idempotent: maybe\r\n"),
}
UNENDED_INPUTS = ("a body that stops coming",)


def parse(received):
    """Returns the status and the body of a raw answer."""
    head, _blank, body = received.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body
