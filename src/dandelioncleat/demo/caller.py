"""Callers of the demonstration: they send HTTP and keep what they receive."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import aiohttp
import msgspec

from dandelioncleat.core.scoped_key import caller_key
from dandelioncleat.standin.prompt import answer_text, new_prompt

DATA_PREFIX = b'data: '
DONE = b'[DONE]'
CUT = 'cut'
ANSWERED = 'answered'
NOT_RUN = 'not-run'
CALL_TIMEOUT = aiohttp.ClientTimeout(total=30)


class Question(NamedTuple):
    """A request of an organisation.

    ``worst_case`` is the most tokens that it may consume.
    """

    organisation: str
    service: str
    key: str
    method: str
    path: str
    body: bytes
    worst_case: int

    @property
    def is_model(self) -> bool:
        """Whether the request asks a model."""
        return not self.path.startswith('/services/')


class Answer(NamedTuple):
    """What a caller received; ``outcome`` is ``cut`` for a broken stream."""

    question: Question
    status: int
    outcome: str
    code: str
    text: str
    target: str
    billed_tokens: int
    sent_at: float
    ended_at: float

    @property
    def is_whole(self) -> bool:
        """Whether the text is the whole answer to the question."""
        if self.question.is_model:
            return self.text == _expected(self.question.body)
        echo = msgspec.json.decode(self.text)
        expected = (
            self.question.organisation,
            self.question.key,
            self.question.body.decode(),
        )
        key = caller_key(echo['key'])
        return expected == (echo['organisation'], key, echo['echo'])


def model_question(
    organisation: str,
    service: str,
    key: str,
    text: str,
    *,
    tokens: int = 40,
) -> Question:
    """Return a question to a model, whose answer has so many tokens."""
    messages = [{'role': 'user', 'content': text}]
    body = {
        'model': service,
        'messages': messages,
        'max_tokens': tokens,
        'stream': True,
        'standin': {'output_tokens': tokens},
    }
    encoded = msgspec.json.encode(body)
    worst_case = new_prompt(encoded).tokens + tokens
    return Question(
        organisation,
        service,
        key,
        'POST',
        '/v1/chat/completions',
        encoded,
        worst_case,
    )


def plain_question(
    organisation: str,
    service: str,
    key: str,
    *,
    path: str,
    price: int,
    document: Any = None,
) -> Question:
    """Return a call of a plain service; without a document it is a look-up."""
    return Question(
        organisation,
        service,
        key,
        'GET' if document is None else 'POST',
        f'/services/{service}/{path}',
        b'' if document is None else msgspec.json.encode(document),
        price,
    )


class Callers:
    """Sends questions with the organisations' own keys."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        keys_by_organisation: dict[str, str],
        note: Callable[[Answer], None],
    ) -> None:
        """Take the session, the bearer keys and what keeps the answers."""
        self._session = session
        self._keys_by_organisation = keys_by_organisation
        self._note = note

    async def ask(
        self,
        url: str,
        question: Question,
        *,
        begun: asyncio.Event | None = None,
    ) -> Answer:
        """Send a question to a router and receive its answer.

        :param begun: is set when the first part of the answer arrives
        """
        sent_at = _now()
        reading = _Reading(begun)
        try:
            await self._exchange(url, question, reading)
        except (aiohttp.ClientError, OSError, TimeoutError):
            reading.outcome = CUT
        answer = Answer(
            question,
            reading.status,
            reading.outcome,
            reading.code,
            reading.text,
            reading.target,
            reading.billed_tokens,
            sent_at,
            _now(),
        )
        self._note(answer)
        return answer

    async def _exchange(
        self,
        url: str,
        question: Question,
        reading: '_Reading',
    ) -> None:
        bearer = self._keys_by_organisation[question.organisation]
        headers = {
            'Authorization': f'Bearer {bearer}',
            'Content-Type': 'application/json',
            'Idempotency-Key': question.key,
        }
        async with self._session.request(
            question.method,
            url + question.path,
            data=question.body,
            headers=headers,
            timeout=CALL_TIMEOUT,
        ) as response:
            reading.take_head(response)
            if response.content_type == 'text/event-stream':
                async for line in response.content:
                    reading.take_line(line.strip())
            else:
                reading.take_whole(await response.read())


class _Reading:
    """Collects one answer; a stream without its last event was cut."""

    def __init__(self, begun: asyncio.Event | None) -> None:
        self.status = 0
        self.outcome = CUT
        self.code = ''
        self.text = ''
        self.target = ''
        self.billed_tokens = 0
        self._begun = begun

    def take_head(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self.outcome = response.headers.get('X-Outcome', CUT)
        self.target = response.headers.get('X-Target', '')
        self.billed_tokens = int(response.headers.get('X-Billed-Tokens', 0))

    def take_whole(self, body: bytes) -> None:
        if self.outcome == ANSWERED:
            self.text = body.decode()
            return
        document = msgspec.json.decode(body)
        self._take_error(document.get('error', {}))

    def take_line(self, line: bytes) -> None:
        if not line.startswith(DATA_PREFIX) or line.endswith(DONE):
            return
        event = msgspec.json.decode(line[len(DATA_PREFIX) :])
        self.text += ''.join(map(_text_of, event.get('choices', ())))
        if self._begun is not None:
            self._begun.set()
        facts = event.get('dandelioncleat')
        if facts:
            self.outcome = facts['outcome']
            self.target = facts['target']
            self.billed_tokens = facts['billed_tokens']
        error = event.get('error')
        if error:
            self._take_error(error)

    def _take_error(self, error: dict[str, Any]) -> None:
        self.outcome = error.get('outcome', self.outcome)
        self.code = error.get('code', '')


def _text_of(choice: dict[str, Any]) -> str:
    text: str = choice['delta'].get('content', '')
    return text


def _expected(body: bytes) -> str:
    prompt = new_prompt(body)
    return answer_text(prompt, 0, prompt.output_tokens)


def _now() -> float:
    return asyncio.get_running_loop().time()
