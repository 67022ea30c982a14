"""Asks an executor to confirm that a run will never begin."""

from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import RunId
from dandelioncleat.core.message import Sealed, SealRun
from dandelioncleat.core.record import Join
from dandelioncleat.ports.peer import Peers

SEAL_TIMEOUT_S = 2.0


async def seal_run(peers: Peers, executor: Join, run: RunId) -> bool:
    """Seal a run; return whether it is certain never to begin."""
    try:
        reply = await peers.call(
            executor.address,
            SealRun(run, executor.incarnation),
            timeout_s=SEAL_TIMEOUT_S,
        )
    except FailureError:
        return False
    return reply == Sealed(run, ran=False)
