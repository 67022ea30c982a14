"""HTTP clients of the demonstration, which record what they receive."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import aiohttp
import msgspec

from dandelioncleat.core.scoped_key import caller_key
from dandelioncleat.standin.prompt import answer_text, new_prompt

DATA_PREFIX = b'data: '
DONE = b'[DONE]'
INTERRUPTED = 'cut'
ANSWERED = 'answered'
NOT_RUN = 'not-run'
CALL_TIMEOUT = aiohttp.ClientTimeout(total=30)


class DemoRequest(NamedTuple):
    """A request of an organisation.

    ``max_total_tokens`` is the most tokens that it may consume.
    """

    organisation: str
    service: str
    key: str
    method: str
    path: str
    body: bytes
    max_total_tokens: int

    @property
    def is_model(self) -> bool:
        """Whether the request goes to a model."""
        return not self.path.startswith('/services/')


class Answer(NamedTuple):
    """What a caller received; ``outcome`` is ``cut`` for a broken stream."""

    request: DemoRequest
    status: int
    outcome: str
    code: str
    text: str
    target: str
    billed_tokens: int
    sent_at: float
    ended_at: float

    @property
    def is_complete(self) -> bool:
        """Whether the text is the complete answer to the request."""
        if self.request.is_model:
            return self.text == _expected_text(self.request.body)
        echo = msgspec.json.decode(self.text)
        expected = (
            self.request.organisation,
            self.request.key,
            self.request.body.decode(),
        )
        key = caller_key(echo['key'])
        return expected == (echo['organisation'], key, echo['echo'])


def new_model_request(
    organisation: str,
    service: str,
    key: str,
    text: str,
    *,
    tokens: int = 40,
) -> DemoRequest:
    """Return a request to a model whose answer has ``tokens`` tokens."""
    messages = [{'role': 'user', 'content': text}]
    body = {
        'model': service,
        'messages': messages,
        'max_tokens': tokens,
        'stream': True,
        'standin': {'output_tokens': tokens},
    }
    encoded = msgspec.json.encode(body)
    max_total_tokens = new_prompt(encoded).tokens + tokens
    return DemoRequest(
        organisation,
        service,
        key,
        'POST',
        '/v1/chat/completions',
        encoded,
        max_total_tokens,
    )


def new_plain_request(
    organisation: str,
    service: str,
    key: str,
    *,
    path: str,
    price: int,
    document: Any = None,
) -> DemoRequest:
    """Return a request to a plain service: a GET if there is no document."""
    return DemoRequest(
        organisation,
        service,
        key,
        'GET' if document is None else 'POST',
        f'/services/{service}/{path}',
        b'' if document is None else msgspec.json.encode(document),
        price,
    )


class Callers:
    """Sends requests with the API keys of their organisations."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        keys_by_organisation: dict[str, str],
        on_answer: Callable[[Answer], None],
    ) -> None:
        """Take the session, the bearer keys and a callback for each answer."""
        self._session = session
        self._keys_by_organisation = keys_by_organisation
        self._on_answer = on_answer

    async def send(
        self,
        url: str,
        request: DemoRequest,
        *,
        first_part: asyncio.Event | None = None,
    ) -> Answer:
        """Send a request to a router and receive its answer.

        :param first_part: is set when the first part of the answer arrives
        """
        sent_at = _now()
        reading = _Reading(first_part)
        try:
            await self._exchange(url, request, reading)
        except (aiohttp.ClientError, OSError, TimeoutError):
            reading.outcome = INTERRUPTED
        answer = Answer(
            request,
            reading.status,
            reading.outcome,
            reading.code,
            reading.text,
            reading.target,
            reading.billed_tokens,
            sent_at,
            _now(),
        )
        self._on_answer(answer)
        return answer

    async def _exchange(
        self,
        url: str,
        request: DemoRequest,
        reading: '_Reading',
    ) -> None:
        bearer = self._keys_by_organisation[request.organisation]
        headers = {
            'Authorization': f'Bearer {bearer}',
            'Content-Type': 'application/json',
            'Idempotency-Key': request.key,
        }
        async with self._session.request(
            request.method,
            url + request.path,
            data=request.body,
            headers=headers,
            timeout=CALL_TIMEOUT,
        ) as response:
            reading.read_head(response)
            if response.content_type == 'text/event-stream':
                async for line in response.content:
                    reading.read_line(line.strip())
            else:
                reading.read_body(await response.read())


class _Reading:
    """Collects one answer; a stream without its last event was cut off."""

    def __init__(self, first_part: asyncio.Event | None) -> None:
        self.status = 0
        self.outcome = INTERRUPTED
        self.code = ''
        self.text = ''
        self.target = ''
        self.billed_tokens = 0
        self._first_part = first_part

    def read_head(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self.outcome = response.headers.get('X-Outcome', INTERRUPTED)
        self.target = response.headers.get('X-Target', '')
        self.billed_tokens = int(response.headers.get('X-Billed-Tokens', 0))

    def read_body(self, body: bytes) -> None:
        if self.outcome == ANSWERED:
            self.text = body.decode()
            return
        document = msgspec.json.decode(body)
        self._read_error(document.get('error', {}))

    def read_line(self, line: bytes) -> None:
        if not line.startswith(DATA_PREFIX) or line.endswith(DONE):
            return
        event = msgspec.json.decode(line[len(DATA_PREFIX) :])
        self.text += ''.join(map(_text_of, event.get('choices', ())))
        if self._first_part is not None:
            self._first_part.set()
        result = event.get('dandelioncleat')
        if result:
            self.outcome = result['outcome']
            self.target = result['target']
            self.billed_tokens = result['billed_tokens']
        error = event.get('error')
        if error:
            self._read_error(error)

    def _read_error(self, error: dict[str, Any]) -> None:
        self.outcome = error.get('outcome', self.outcome)
        self.code = error.get('code', '')


def _text_of(choice: dict[str, Any]) -> str:
    text: str = choice['delta'].get('content', '')
    return text


def _expected_text(body: bytes) -> str:
    prompt = new_prompt(body)
    return answer_text(prompt, 0, prompt.output_tokens)


def _now() -> float:
    return asyncio.get_running_loop().time()
