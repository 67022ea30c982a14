"""Computes the complete answer that a stand-in gives to a request."""

import msgspec

from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.replay.ground_truth import request_body
from dandelioncleat.replay.trace import Request
from dandelioncleat.standin.prompt import answer_text, new_prompt


def expected_answer(request: Request, kind: ServiceKind) -> bytes:
    """Return the bytes of the complete answer."""
    body = request_body(request)
    if kind == ServiceKind.MODEL:
        tokens = min(request.output_tokens, request.max_tokens)
        return answer_text(new_prompt(body), 0, tokens).encode()
    return msgspec.json.encode(
        {
            'organisation': request.organisation,
            'key': request.key,
            'method': 'GET' if request.idempotent else 'POST',
            'path': '/calls',
            'echo': body.decode(),
        },
    )
