"""Has an executor confirm that it will never run a run."""

from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.identity import RunId
from dandelioncleat.core.message import Sealed, SealRun
from dandelioncleat.core.record import Join
from dandelioncleat.ports.peer import Peers

SEAL_TIMEOUT_S = 2.0


async def is_sealed(peers: Peers, executor: Join, run: RunId) -> bool:
    """Seal a run; return whether it had not begun and never will."""
    try:
        reply = await peers.call(
            executor.address,
            SealRun(run, executor.incarnation),
            timeout_s=SEAL_TIMEOUT_S,
        )
    except FailureError:
        return False
    return reply == Sealed(run, ran=False)
