"""HTTP client functions that all kinds of targets share."""

from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, call
from dandelioncleat.adapters._named_json import decode_named
from dandelioncleat.adapters.run_text import run_text
from dandelioncleat.core.decoding import decode_bytes
from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.scoped_key import caller_key
from dandelioncleat.ports.target import TargetCall, TargetLoad

FENCE_HEADER = 'X-Fencing-Number'
RUN_HEADER = 'X-Request-Id'
KEY_HEADER = 'Idempotency-Key'
CONTROL_TIMEOUT_S = 2.0
RUN_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2)
PRECONDITION_FAILED = 412
READ_STEP = 'read'


class _FenceAnswer(msgspec.Struct):
    """The response to a fencing order."""

    checks: bool


_FENCE_DECODER = msgspec.json.Decoder(_FenceAnswer)


class TargetHttp:
    """Calls one target and converts errors to failures."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
    ) -> None:
        """Take the session to call with and the target's base URL."""
        self.session = session
        self.url = url.rstrip('/')

    def failure_context(self, step: str) -> FailureContext:
        """Return the failure context of a step."""
        return FailureContext(Code.TARGET, step, self.url)

    async def control(
        self,
        method: str,
        path: str,
        step: str,
        **options: Any,
    ) -> bytes:
        """Make a short control call and return the response body."""
        context = self.failure_context(step)
        reply = await call(
            self.session,
            method,
            self.url + path,
            context=context,
            timeout_s=CONTROL_TIMEOUT_S,
            **options,
        )
        self.check_fence(reply.status, reply.headers)
        return reply.check(context)

    async def load(self) -> TargetLoad:
        """Return the newest load report."""
        body = await self.control('GET', '/load', 'load')
        try:
            return decode_named(body, TargetLoad)
        except msgspec.MsgspecError as error:
            raise self.failure_context('load').failure(error) from error

    async def fence(self, number: int) -> bool:
        """Set the fencing number; return whether the target checks it."""
        body = await self.control(
            'POST',
            '/orders/fence',
            'fence',
            headers={FENCE_HEADER: str(number)},
        )
        try:
            return decode_bytes(_FENCE_DECODER.decode, body).checks
        except msgspec.MsgspecError as error:
            raise self.failure_context('fence').failure(error) from error

    def check_fence(self, status: int, headers: Mapping[str, str]) -> None:
        """Raise ``FailureError`` if the fencing number was outdated."""
        if status == PRECONDITION_FAILED and FENCE_HEADER in headers:
            raise failure_error(
                Code.FENCED,
                step='run',
                peer=self.url,
                text=f'outdated; the target has number {headers[FENCE_HEADER]}',
            )


def run_headers(request: TargetCall) -> dict[str, str]:
    """Return the headers of every request to a target."""
    return {
        'Content-Type': request.content_type,
        RUN_HEADER: run_text(request.run),
        KEY_HEADER: caller_key(request.run.key),
        FENCE_HEADER: str(request.fence),
    }
