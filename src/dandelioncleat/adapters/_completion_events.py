"""Parses the server-sent events of an OpenAI-compatible completion."""

import msgspec

from dandelioncleat.core.decoding import decode_bytes
from dandelioncleat.ports.target import Piece

EVENT_END = b'\n\n'
DATA_PREFIX = b'data:'
DONE = b'[DONE]'


class _Delta(msgspec.Struct, frozen=True):
    """The new part of a chat's message."""

    content: str | None = ''


class _Choice(msgspec.Struct, frozen=True):
    """A choice; ``text`` is set by completions, ``delta`` by chats."""

    text: str = ''
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Usage(msgspec.Struct, frozen=True):
    """The token counts so far."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Event(msgspec.Struct, frozen=True):
    """One event of the stream."""

    choices: list[_Choice] = []
    usage: _Usage | None = None


_EVENT_DECODER = msgspec.json.Decoder(_Event)


class CompletionParser:
    """Collects the text and the token counts of one stream.

    ``is_done`` is set once ``[DONE]`` was read. If the stream carries no
    counts, each event with text counts as one token.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.is_done = False
        self.reason = ''
        self.prompt_tokens = 0
        self.output_tokens = 0
        self._incomplete = b''

    @property
    def incomplete_bytes(self) -> int:
        """Return the length of the event that is not whole yet."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> Piece | None:
        """Parse bytes and return what they add to the answer.

        :raises UnreadableError: if an event is malformed
        """
        before = self.output_tokens
        events = (self._incomplete + data).split(EVENT_END)
        self._incomplete = events.pop()
        text = ''.join([self._read(event) for event in events])
        if text or self.output_tokens > before:
            return Piece(text.encode(), self.output_tokens - before)
        return None

    def _read(self, event: bytes) -> str:
        payload = event.strip()
        if not payload.startswith(DATA_PREFIX):
            return ''
        payload = payload[len(DATA_PREFIX) :].strip()
        if payload == DONE:
            self.is_done = True
            return ''
        return self._apply(decode_bytes(_EVENT_DECODER.decode, payload))

    def _apply(self, event: _Event) -> str:
        text = ''
        for choice in event.choices:
            text += choice.text or choice.delta.content or ''
            self.reason = choice.finish_reason or self.reason
        if event.usage is not None:
            self.prompt_tokens = event.usage.prompt_tokens
            self.output_tokens = event.usage.completion_tokens
        elif text:
            self.output_tokens += 1
        return text
