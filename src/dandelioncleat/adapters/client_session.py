"""HTTP client sessions that trust no bytes beyond what was asked for."""

import asyncio
import functools
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from dandelioncleat.adapters.abandoned_answer import AbandonedAnswer
from dandelioncleat.adapters.connection_reset import reset_connection
from dandelioncleat.adapters.read_limit import PacedProtocol
from dandelioncleat.adapters.upload_end import UploadEnd
from dandelioncleat.core.whole_number import whole_number
from dandelioncleat.ports.answer_watch import AnswerWatch

# Interim answers (RFC 9110, 15.2) have lower statuses.
_FIRST_FINAL_STATUS = 200
_FIRST_STATUS = 100
_LAST_STATUS = 599
# Nothing here asks for another protocol, so no peer may switch to one.
_SWITCHING_PROTOCOLS = 101
_HEAD_END = b'\r\n\r\n'
MAX_INTERIM_ANSWERS = 16
# aiohttp keeps twice as much of a body that is not read.
READ_BUFFER_BYTES = 16 * 1024
# Learns how the target ends a request of this task that is given up.
answer_watch: ContextVar[AnswerWatch | None] = ContextVar(
    'answer_watch', default=None
)


class _StrictProtocol(PacedProtocol, ResponseHandler):
    """Fails a body that a reset cut off, and closes on unexpected bytes.

    aiohttp otherwise treats a body without length or chunks as complete, and
    bytes on an idle connection as the answer to the next request. It keeps all
    that comes after an answer, any number of interim answers, and numbers that
    are no status.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, *, is_reset_unread: bool = False
    ) -> None:
        """Start without a request.

        :param is_reset_unread: whether to reset the connection if it is closed
            before its answer has ended
        """
        super().__init__(loop=loop)
        self._is_reset_unread = is_reset_unread
        self._is_answer_due = False
        self._interim_answers = 0
        self._unread_length: int | None = None
        self._run: AnswerWatch | None = None
        # What has arrived of the heads of a due answer.
        self._head = b''

    def set_response_params(self, **params: Any) -> None:
        """Expect an answer."""
        self._is_answer_due = True
        self._interim_answers = 0
        self._unread_length = None
        self._head = b''
        self._run = answer_watch.get()
        if self._run is not None:
            self._run.note_sent()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer; close the connection if none is due."""
        if self._upgraded or not data:
            # aiohttp resumes its parser with no data.
            super().data_received(data)
            return
        self.note_lines(data)
        while data and not self._is_closing:
            due = self._due_bytes(data)
            if due and self._is_answer_due and self._run is not None:
                self._head += data[:due]
            if due:
                super().data_received(data[:due])
            else:
                self.close()
            data = data[due:]

    @property
    def _is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def _due_bytes(self, data: bytes) -> int:
        """Return how much of some bytes is of one head, or of a due body.

        What follows a whole answer must not fail it.
        """
        if self._is_answer_due:
            end = data.find(_HEAD_END) + len(_HEAD_END)
            return end if end >= len(_HEAD_END) else len(data)
        payload = self._payload
        if payload is None or payload.is_eof():
            return 0
        if self._unread_length is None:
            return len(data)
        due = min(len(data), self._unread_length)
        self._unread_length -= due
        return due

    def feed_data(self, message: Any, size: int = 0) -> None:
        """Note whether the head that has arrived is the answer's."""
        head, _ = message
        if not self._is_answer_due:
            # Another answer, which belongs to no request.
            self._close_soon()
            return
        if not _is_status(head.code):
            self.set_exception(
                aiohttp.ClientConnectionError(f'{head.code} is no status')
            )
            self._close_soon()
            return
        if head.code >= _FIRST_FINAL_STATUS:
            self._is_answer_due = False
            self._head = b''
            if self._run is not None:
                self._run.note_head(head.code, head.headers)
            length = head.headers.get('Content-Length', '')
            self._unread_length = whole_number(length)
        else:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._close_soon()
                return
        super().feed_data(message, size)

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """End the answer; one without a length only after the whole request.

        The peer may have closed the connection with the rest of a long request
        unread, and so have cut its answer.
        """
        super().eof_received()
        payload, transport = self._payload, self.transport
        if payload is None or payload.is_eof() or transport is None:
            return None
        upload = UploadEnd(transport, on_cut=self._fail_body)
        if not upload.is_due:
            return None
        upload.check()
        return True

    def close(self) -> None:
        """Close the connection; read on if the answer has no output yet.

        What a peer has not read yet of a long request is dropped: it must not
        get the rest when it reads again.
        """
        run = self._run
        self._run = None
        transport = self.transport
        if transport is None:
            return
        if self._is_reset_unread and self._is_unfinished:
            reset_connection(transport)
        elif run is not None and self._awaits_output:
            self._leave(transport, run)
        super().close()

    def _leave(self, transport: asyncio.Transport, run: AnswerWatch) -> None:
        head = self._head if self._is_answer_due else None
        # aiohttp then has nothing to close, and keeps nothing.
        self.connection_lost(None)
        AbandonedAnswer(transport, run, head=head).start()

    @property
    def _is_unfinished(self) -> bool:
        payload = self._payload
        return self._is_answer_due or not (payload is None or payload.is_eof())

    @property
    def _awaits_output(self) -> bool:
        if self._is_closing or self._buffer or self._tail:
            return False
        payload = self._payload
        if self._is_answer_due or payload is None:
            return self._is_answer_due
        return not (payload.total_bytes or payload.is_eof())

    def _close_soon(self) -> None:
        """Close the connection, which keeps what has been read of an answer."""
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection was reset."""
        if exc is not None:
            self._fail_body(exc)
        super().connection_lost(exc)

    def _fail_body(self, error: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection lost: {error}')
            )


def _is_status(code: int) -> bool:
    """Return whether a number is a status that an answer may have."""
    is_known = _FIRST_STATUS <= code <= _LAST_STATUS
    return is_known and code != _SWITCHING_PROTOCOLS


def new_connector(
    *, is_reset_unread: bool = False, **options: Any
) -> aiohttp.TCPConnector:
    """Return a connector whose connections follow the protocol strictly.

    Needs a running event loop.

    :param is_reset_unread: whether a connection is reset if it is closed before
        its answer has ended, so that the peer gets nothing more of its request
    :param options: those of ``aiohttp.TCPConnector``
    """
    connector = aiohttp.TCPConnector(**options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictProtocol, loop=loop, is_reset_unread=is_reset_unread
    )
    return connector


def new_client_session() -> aiohttp.ClientSession:
    """Return a session with default options; needs a running event loop."""
    return aiohttp.ClientSession(connector=new_connector())
