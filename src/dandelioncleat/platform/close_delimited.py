"""Answers to callers that end with their connection (RFC 9112, 6.3).

The kernel closes the connections of a process that is killed, which would tell
a caller that such an answer is whole. So its connection is reset by whoever
closes it, until the kernel has all of the answer.
"""

from aiohttp import hdrs, web

from dandelioncleat.adapters.connection_reset import reset_on_close


class CloseDelimitedResponse(web.StreamResponse):
    """A response without length or chunks; its connection is closed."""

    # Lets aiohttp add no chunks.
    _length_check = False


def is_close_delimited(response: web.StreamResponse) -> bool:
    """Return whether a response that was begun ends with its connection."""
    if hdrs.TRANSFER_ENCODING in response.headers:
        return False
    return response.content_length is None


def begin_close_delimited(request: web.BaseRequest) -> None:
    """Let no end of the process look like the end of the answer."""
    if request.transport is not None:
        reset_on_close(request.transport, is_on=True)


async def end_close_delimited(request: web.BaseRequest) -> None:
    """Let a close end the answer, once the kernel has all of it."""
    transport = request.transport
    if transport is None:
        return
    transport.set_write_buffer_limits(0)
    await request.writer.drain()
    reset_on_close(transport, is_on=False)
