"""Builders of requests to the stand-ins."""

import json

from dandelioncleat.core.identity import Incarnation, RunId
from dandelioncleat.ports.target import Ended, Piece, TargetCall


def new_run(key='k1', *, organisation='o1', attempt=1):
    """Return the id of a run."""
    return RunId(organisation, key, Incarnation('home/1'), attempt)


def completion_body(prompt='hello', **stated):
    """Return the body of a completion with stated lengths."""
    return json.dumps(
        {'model': 'm', 'prompt': prompt, 'standin': stated}
    ).encode()


def model_call(key='k1', prompt='hello', **changes):
    """Return a call of a model; ``stated`` sets its lengths."""
    stated = changes.pop('stated', {'prompt_tokens': 10, 'output_tokens': 5})
    body = completion_body(prompt, **stated)
    call = TargetCall(
        run=new_run(key),
        method='POST',
        path='/v1/completions',
        content_type='application/json',
        body=body,
        cap=100,
        priority=0,
        fence=0,
    )
    return call._replace(**changes)


def plain_call(key='k1', *, method='POST', body=b'{}', fence=0):
    """Return a call of a plain service."""
    return TargetCall(
        run=new_run(key),
        method=method,
        path='/invoices',
        content_type='application/json',
        body=body,
        cap=0,
        priority=0,
        fence=fence,
    )


async def answer_of(target, call):
    """Run a call to its end and return its text, token count and end."""
    text = b''
    tokens = 0
    async for event in target.run(call):
        if isinstance(event, Piece):
            text += event.data
            tokens += event.tokens
        if isinstance(event, Ended):
            return text.decode(), tokens, event
    raise AssertionError('the answer has no end')
