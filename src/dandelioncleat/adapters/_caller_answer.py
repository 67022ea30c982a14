"""Encodes answers to callers: headers, OpenAI documents and events."""

import codecs
from typing import Any, NamedTuple

import msgspec

from dandelioncleat.core.request import AnswerEnd

DONE_EVENT = b'data: [DONE]\n\n'


class CompletionEncoder(NamedTuple):
    """Encodes the answers of one request as a chat or as a completion.

    ``created`` is in seconds since the epoch.
    """

    key: str
    model: str
    is_chat: bool
    created: int

    def complete(self, text: str, end: AnswerEnd) -> bytes:
        """Return a complete answer as one document."""
        choice: dict[str, Any] = {'index': 0, 'finish_reason': end.reason}
        if self.is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        document = self._document('chat.completion', choice)
        document['usage'] = usage_of(end)
        return msgspec.json.encode(document)

    def event(self, text: str) -> bytes:
        """Return the server-sent event for a part of the answer."""
        return self._event(text, None, {})

    def last_event(self, end: AnswerEnd) -> bytes:
        """Return the event that ends a complete answer."""
        extra = {'usage': usage_of(end), 'dandelioncleat': self._summary(end)}
        return self._event('', end.reason, extra)

    def _event(
        self,
        text: str,
        reason: str | None,
        extra: dict[str, Any],
    ) -> bytes:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        if self.is_chat:
            choice['delta'] = {'content': text} if text else {}
        else:
            choice['text'] = text
        document = self._document('chat.completion.chunk', choice)
        return encode_event({**document, **extra})

    def _document(
        self,
        chat_object: str,
        choice: dict[str, Any],
    ) -> dict[str, Any]:
        return {
            'id': self.key,
            'object': chat_object if self.is_chat else 'text_completion',
            'created': self.created,
            'model': self.model,
            'choices': [choice],
        }

    def _summary(self, end: AnswerEnd) -> dict[str, Any]:
        return {
            'outcome': end.outcome,
            'request_key': self.key,
            'target': end.target,
            'billed_tokens': end.billed_tokens,
            'configuration_version': end.version,
        }


class TextDecoder:
    """Decodes UTF-8 pieces; a character may be split between two."""

    def __init__(self) -> None:
        """Start at the beginning of a text."""
        self._decoder = codecs.getincrementaldecoder('utf-8')('replace')

    def feed(self, data: bytes) -> str:
        """Return the characters that are complete so far."""
        return self._decoder.decode(data)


def encode_event(document: dict[str, Any]) -> bytes:
    """Encode a document as a server-sent event."""
    return b'data: %b\n\n' % msgspec.json.encode(document)


def usage_of(end: AnswerEnd) -> dict[str, int]:
    """Return an answer's token counts under OpenAI's names."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.output_tokens,
        'total_tokens': end.prompt_tokens + end.output_tokens,
    }


def outcome_headers(end: AnswerEnd, key: str) -> dict[str, str]:
    """Return the headers that say how a request ended."""
    return {
        'X-Outcome': end.outcome,
        'X-Request-Key': key,
        'X-Target': end.target,
        'X-Billed-Tokens': str(end.billed_tokens),
        'X-Configuration-Version': str(end.version),
    }
