"""The platform's host list over HTTP."""

import aiohttp
import msgspec

from dandelioncleat.adapters._http_call import FailureContext, call
from dandelioncleat.adapters._named_json import decode_all_named
from dandelioncleat.core.failure import Code
from dandelioncleat.ports.host_list import HostState

CALL_TIMEOUT_S = 2.0


class HttpHostList:
    """Implements the ``HostList`` port."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Take the session to call with and the list's base URL."""
        self._session = session
        self._url = url.rstrip('/')

    async def hosts(self) -> tuple[HostState, ...]:
        """Return all live and leaving hosts."""
        context = FailureContext(Code.UNREACHABLE, 'hosts', self._url)
        reply = await call(
            self._session,
            'GET',
            f'{self._url}/hosts',
            context=context,
            timeout_s=CALL_TIMEOUT_S,
        )
        try:
            return decode_all_named(reply.check(context), HostState)
        except msgspec.MsgspecError as error:
            raise context.failure(error) from error
