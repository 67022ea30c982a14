"""Reads the whole body of an answer, within a bound."""

from dandelioncleat.core.failure import Code, failure_error
from dandelioncleat.core.held_bytes import HeldMessage
from dandelioncleat.ports.direct_target import BODY_STEP, TargetAnswer

# A faulty target may send an endless body; memory must hold several.
MAX_BODY_BYTES = 4 * 1024 * 1024


async def read_body(
    answer: TargetAnswer, *, peer: str, held: HeldMessage
) -> bytes:
    """Return the body of an answer.

    :param peer: the target or router that answers
    :param held: what the process may keep of it
    :raises FailureError: if it breaks off, exceeds ``MAX_BODY_BYTES`` or does
        not fit into memory beside others
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
        if not held.grow_to(len(body)):
            raise failure_error(
                Code.TARGET,
                step=BODY_STEP,
                peer=peer,
                text=f'no memory for more than {len(body)} bytes',
            )
    return bytes(body)
