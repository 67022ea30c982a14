"""Reads the whole body of an answer, within a bound."""

from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.ports.direct_target import BODY_STEP, TargetAnswer

# A faulty target may send an endless body; memory must hold several.
MAX_BODY_BYTES = 4 * 1024 * 1024


async def read_body(answer: TargetAnswer, *, peer: str) -> bytes:
    """Return the body of an answer.

    :param peer: the target or router that answers
    :raises FailureError: if it breaks off or exceeds ``MAX_BODY_BYTES``
    """
    body = bytearray()
    async for data in answer.chunks():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise failure_error(
                Code.TARGET,
                step=BODY_STEP,
                peer=peer,
                text=f'the body exceeds {MAX_BODY_BYTES} bytes',
            )
    return bytes(body)
