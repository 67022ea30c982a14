"""The callers' HTTP interface over scripted answers, with a client."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import ClientSession, web

from dandelioncleat.adapters._caller_body import BodyMemory
from dandelioncleat.adapters.caller_http import (
    CallerBackend,
    new_caller_application,
)
from dandelioncleat.adapters.system_clock import SystemClock
from dandelioncleat.core.account import Balance
from dandelioncleat.core.configuration import Organisation
from dandelioncleat.core.credential import new_key
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.request import (
    AnswerEnd,
    AnswerEvent,
    AnswerPiece,
    CallerRequest,
    RequestOutcome,
)
from tests.builders.router import new_configuration

KEY = new_key(b's' * 16, b'x' * 32)
OTHER_KEY = new_key(b't' * 16, b'y' * 32)
CHAT = {'model': 'dues', 'messages': [{'role': 'user', 'content': 'Dues?'}]}


def answered(**fields: Any) -> AnswerEnd:
    """Return the end of a complete answer."""
    end = AnswerEnd(
        RequestOutcome.ANSWERED,
        request=('agency', 'k'),
        version=3,
        target='t1',
        status=200,
        content_type='text/plain',
        reason='stop',
        prompt_tokens=4,
        output_tokens=2,
        billed_tokens=6,
    )
    return end._replace(**fields)


def failed(code: Code, outcome: RequestOutcome, **fields: Any) -> AnswerEnd:
    """Return the end of a refused request."""
    failure = Failure(code, 'step', 'peer', 'why')
    return answered(
        outcome=outcome, failure=failure, status=0, billed_tokens=0
    )._replace(**fields)


class ScriptedServer:
    """Yields the scripted events and records requests and disconnects."""

    def __init__(self) -> None:
        self.obstacle = ''
        self.script: list[AnswerEvent] = []
        self.requests: list[CallerRequest] = []
        self.asked = asyncio.Event()
        self.closed = asyncio.Event()
        self.stays_open = False

    async def serve(
        self, request: CallerRequest, *, traceparent: str = ''
    ) -> AsyncIterator[AnswerEvent]:
        self.requests.append(request)
        self.asked.set()
        self.traceparent = traceparent
        try:
            for event in self.script:
                yield event
            if self.stays_open:
                await asyncio.Event().wait()
        finally:
            self.closed.set()


class CallerClient:
    """A running HTTP server and a session that calls it."""

    def __init__(self, server: ScriptedServer, url: str, session: Any) -> None:
        self.server = server
        self.url = url
        self.session = session

    async def post(
        self, path: str, body: Any, **headers: str
    ) -> tuple[int, Any, bytes]:
        """Post JSON and return status, headers and body."""
        names = {name.replace('_', '-'): text for name, text in headers.items()}
        names.setdefault('Authorization', f'Bearer {KEY.text}')
        kind = 'data' if isinstance(body, bytes) else 'json'
        async with self.session.post(
            self.url + path, headers=names, **{kind: body}
        ) as response:
            return response.status, response.headers, await response.read()


@asynccontextmanager
async def serve_script(
    *script: AnswerEvent,
    memory: BodyMemory | None = None,
    write_timeout_s: float = 30,
) -> AsyncIterator[CallerClient]:
    """Serve a script over HTTP on the loopback interface."""
    configuration = new_configuration()
    organisations = {
        'agency': Organisation('agency', credentials=(KEY.entry,)),
        'shop': Organisation(
            'shop', credentials=(OTHER_KEY.entry,), services=('billing-app',)
        ),
    }
    configuration = configuration._replace(organisations_by_name=organisations)
    server = ScriptedServer()
    server.script = list(script)
    backend = CallerBackend(
        server=server,
        configuration=lambda: configuration,
        balance_of=lambda budget: Balance(100, 20, 10),
        metrics_page=lambda: b'requests 1\n',
        clock=SystemClock(),
        write_timeout_s=write_timeout_s,
    )
    application = new_caller_application(backend, memory)
    runner = web.AppRunner(application, handler_cancellation=True)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        async with ClientSession() as session:
            yield CallerClient(server, f'http://{host}:{port}', session)
    finally:
        await runner.cleanup()


def piece(text: str) -> AnswerPiece:
    """Return a piece of one token."""
    return AnswerPiece(text.encode(), 1)
