"""What crowds send: heads over the limit, and requests ahead.

A form is the start and the part of a crowd, for any path.
"""

from typing import NamedTuple

from tests.soak.crowds import BODY_BYTES, HEADER_BYTES, Crowd, head

PIECE = b'x' * 65_536
LINES = 32_768
# A field that any server reads, and as many of them as aiohttp reads.
FIELD_BYTES = 8_000
FIELDS = 115
# Slow readers have a receive buffer of this size, in bytes.
WINDOW = 4_096
NO_BODY = b'Content-Length: 0'
# How long a crowd stays before an ordinary request is sent, in seconds.
HEADS_S = 2.0
AHEAD_S = 4.0
# Few connections, and more than the router keeps.
COUNTS = (4, 100)


class Form(NamedTuple):
    """What a caller sends; ``count`` callers do so at the same time."""

    start: bytes
    part: bytes = b''
    count: int = 80


def head_forms(path):
    """Return heads over the limit or without an end, by name."""
    open_head = head(path, method=b'GET')[:-2]
    return {
        'one field': Form(open_head + b'X-Field: ', PIECE),
        'a name of a field': Form(open_head, PIECE),
        'a target': Form(b'GET /', PIECE),
        'a method': Form(b'', b'G' * 65_536),
        'many fields': Form(open_head + large_fields(), count=60),
        'many whole heads': Form(open_head + large_fields() + b'\r\n'),
        'trailers': Form(
            head(path, b'Transfer-Encoding: chunked')
            + b'0\r\n'
            + large_fields(),
            count=60,
        ),
        'short fields': Form(open_head, b'a:\r\n' * 1000),
        'empty lines': Form(b'', b'\r\n' * LINES),
        'line feeds': Form(b'', b'\n' * LINES),
        'carriage returns': Form(b'', b'\r' * LINES),
        'empty lines after a request': Form(
            head(path, method=b'GET'), b'\r\n' * LINES
        ),
    }


def large_fields():
    """Return fields of which each is within the limit, but not their sum."""
    return b''.join(
        b'X-%d: %s\r\n' % (number, b'x' * FIELD_BYTES)
        for number in range(FIELDS)
    )


def head_crowd(form):
    """Return the crowd that sends a form of a head and reads nothing."""
    return Crowd(form.count, form.start, form.part, length_s=HEADS_S)


def ahead(count, request, *, first=b''):
    """Return a crowd that sends requests ahead and reads no answer.

    :param first: a request before all others
    """
    requests = request * max(1, len(PIECE) // len(request))
    return Crowd(
        count,
        first + requests,
        requests,
        0.01,
        length_s=AHEAD_S,
        window=WINDOW,
    )


def legal_head(path):
    """Return a request without a body whose head is as long as it may be."""
    request = head(path, NO_BODY, b'X-Field: ')
    return request[:-4] + b'x' * (HEADER_BYTES - len(request)) + b'\r\n\r\n'


def many_field_head(path):
    """Return a request of very many short fields, as aiohttp reads it."""
    fields = [b'a%d:' % number for number in range(FIELDS)]
    return head(path, *fields, NO_BODY)


def large_head(path):
    """Return a request whose fields are within the limit, but not their sum."""
    return head(path, NO_BODY)[:-2] + large_fields() + b'\r\n'


def body_request(path, size=BODY_BYTES // 10):
    """Return a whole request with a body."""
    return head(path, b'Content-Length: %d' % size) + b'x' * size
