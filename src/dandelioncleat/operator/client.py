"""Client of the routers' operator HTTP interface."""

import asyncio
from itertools import cycle
from typing import Any, NamedTuple

import aiohttp

from dandelioncleat.core.failure import Code, failure_error

RETRY_DELAY_S = 0.5
CALL_TIMEOUT_S = 15.0
_UNAVAILABLE = (502, 503, 504)


class Answer(NamedTuple):
    """A router's answer; ``document`` is its JSON."""

    status: int
    document: Any

    @property
    def is_success(self) -> bool:
        """Return whether the request succeeded."""
        return self.status < 300


class OperatorClient:
    """Tries one router after the other until one answers.

    Every request is idempotent, so a request without answer is repeated.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        routers: tuple[str, ...],
        timeout_s: float,
    ) -> None:
        """Take the routers' base URLs and the time limit of one request."""
        self._session = session
        self._routers = routers
        self._timeout_s = timeout_s
        self._last_error = 'no answer'

    async def get(self, path: str, **query: str) -> Answer:
        """Get a document."""
        return await self._request('GET', path, query, None)

    async def post(self, path: str, order: Any) -> Answer:
        """Send an order as JSON."""
        return await self._request('POST', path, {}, order)

    async def submit(self, patch: bytes, *, against: int, name: str) -> Answer:
        """Submit a patch under its id."""
        query = {'against': str(against), 'id': name}
        return await self._request('POST', 'patches', query, patch)

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any,
    ) -> Answer:
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._try_routers(method, path, query, body)
        except TimeoutError as error:
            raise failure_error(
                Code.UNREACHABLE,
                step=path,
                peer=', '.join(self._routers) or 'no router',
                text=f'{self._last_error}, for {self._timeout_s} s',
            ) from error

    async def _try_routers(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any,
    ) -> Answer:
        for router in cycle(self._routers):
            url = f'{router}/operator/{path}'
            answer = await self._send(method, url, query, body)
            if isinstance(answer, Answer):
                return answer
            self._last_error = answer
            await asyncio.sleep(RETRY_DELAY_S)
        raise TimeoutError

    async def _send(
        self,
        method: str,
        url: str,
        query: dict[str, str],
        body: Any,
    ) -> Answer | str:
        content = {'data': body} if isinstance(body, bytes) else {'json': body}
        try:
            async with self._session.request(
                method,
                url,
                params=query,
                **content,
            ) as response:
                document = await response.json()
                if response.status in _UNAVAILABLE:
                    return str(document)
                return Answer(response.status, document)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return str(error) or 'no answer'
