"""Asks other hosts for their time of day."""

import asyncio
from collections.abc import Callable

import structlog

from dandelioncleat.core.clock_check import ClockAnswer, ClockEvidence
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.gateway_choice import GatewayEndpoint
from dandelioncleat.core.stable_hash import stable_hash
from dandelioncleat.core.topic_message import AskTime, TimeTold
from dandelioncleat.ports.clock import Clock, current_moment
from dandelioncleat.ports.peer import Peers

ASKED_HOSTS = 7
# A slower answer says too little.
ANSWER_TIMEOUT_S = 0.4
CHECK_INTERVAL_S = 8.0
# After a loss of power of all hosts the others start at the same time.
FIRST_RETRY_S = 0.25

_logger = structlog.get_logger(__name__)


class ClockCheck:
    """Checks the time of day of its host by those of gateways."""

    def __init__(
        self,
        peers: Peers,
        evidence: ClockEvidence,
        *,
        host: str,
        clock: Clock,
        gateways: Callable[[], tuple[GatewayEndpoint, ...]],
    ) -> None:
        """Initialise with a client of gateways.

        :param evidence: is told the answers
        :param gateways: returns the gateways that may be asked
        """
        self._peers = peers
        self._evidence = evidence
        self._host = host
        self._clock = clock
        self._gateways = gateways
        self._is_confirmed = False

    async def run(self) -> None:
        """Check the clock again and again, until cancelled."""
        pause_s = FIRST_RETRY_S
        while True:
            if await self._check():
                pause_s = CHECK_INTERVAL_S
            await asyncio.sleep(pause_s)
            pause_s = min(CHECK_INTERVAL_S, 2 * pause_s)

    async def _check(self) -> bool:
        asked = sorted(
            self._gateways(),
            key=lambda each: stable_hash(self._host + each.address),
        )[:ASKED_HOSTS]
        found = await asyncio.gather(
            *(self._ask(gateway.address) for gateway in asked)
        )
        answers = [answer for answer in found if answer is not None]
        is_confirmed = self._evidence.note(answers, current_moment(self._clock))
        if is_confirmed != self._is_confirmed:
            self._is_confirmed = is_confirmed
            _logger.info(
                'time of day checked',
                is_confirmed=is_confirmed,
                answers=len(answers),
                agreeing=sum(answer.agrees for answer in answers),
            )
        return is_confirmed

    async def _ask(self, address: str) -> ClockAnswer | None:
        sent = current_moment(self._clock)
        try:
            reply = await self._peers.call(
                address, AskTime(), timeout_s=ANSWER_TIMEOUT_S
            )
        except FailureError as error:
            _logger.debug('time not told', gateway=address, reason=str(error))
            return None
        if not isinstance(reply, TimeTold):
            return None
        return ClockAnswer(sent, reply.wall_s, current_moment(self._clock))
