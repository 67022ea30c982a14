"""A fleet in memory that counts what its processes send and read."""

from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from dandelioncleat.adapters.frames.codec import (
    Frame,
    FrameKind,
    encode_frame,
)
from dandelioncleat.adapters.memory_peers import Endpoint, MemoryNetwork
from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.core.message import Message
from dandelioncleat.ports.log import Page
from dandelioncleat.ports.peer import CallContext
from dandelioncleat.replay.simulation import Simulation
from dandelioncleat.replay.trace import (
    DataCentreLine,
    Deployment,
    OrganisationLine,
    ServiceLine,
    TargetLine,
)
from dandelioncleat.standin.log import MemoryLog

SERVICE = 'dues-llm'
DATA_CENTRES = ('dc-0', 'dc-1')
BUDGET_TOKENS = 10**9


class Traffic:
    """Counts and bytes of messages by name, and of reads and appends."""

    def __init__(self) -> None:
        """Start at zero."""
        self.count: Counter[str] = Counter()
        self.size: Counter[str] = Counter()

    def add(self, name: str, size: int) -> None:
        """Count one message, read or append."""
        self.count[name] += 1
        self.size[name] += size

    def clear(self) -> None:
        """Reset the totals to zero."""
        self.count.clear()
        self.size.clear()


class CountedLog(MemoryLog):
    """Counts appends, reads and the bytes of both by stream."""

    def __init__(self, traffic: Traffic) -> None:
        """Take the totals to add to."""
        super().__init__()
        self._traffic = traffic

    async def append(self, stream: str, data: bytes) -> int:
        """Append one entry and return its offset."""
        self._traffic.add(f'append {stream}', len(data))
        return await super().append(stream, data)

    async def read(
        self,
        stream: str,
        *,
        start: int,
        limit: int = 500,
        wait_s: float = 0,
    ) -> Page:
        """Return entries from ``start`` on; wait if there are none yet."""
        page = await super().read(
            stream,
            start=start,
            limit=limit,
            wait_s=wait_s,
        )
        size = sum(len(entry.data) for entry in page.entries)
        self._traffic.add(f'read {stream}', size)
        return page


class _CountedEndpoint(Endpoint):
    def __init__(self, traffic: Traffic) -> None:
        super().__init__()
        self._traffic = traffic

    def answer(
        self,
        message: Message,
        context: CallContext,
    ) -> AsyncIterator[Message]:
        self._count(FrameKind.CALL, message, context.traceparent)
        return self._counted(super().answer(message, context))

    async def _counted(
        self,
        replies: AsyncIterator[Message],
    ) -> AsyncIterator[Message]:
        async for reply in replies:
            self._count(FrameKind.REPLY, reply, '')
            yield reply

    def _count(self, kind: FrameKind, message: Message, trace: str) -> None:
        frame = Frame(1, kind, 1, trace, message)
        name = f'frame {type(message).__name__}'
        self._traffic.add(name, len(encode_frame(frame)))


class _CountedNetwork(MemoryNetwork):
    def __init__(self, simulation: Simulation, traffic: Traffic) -> None:
        super().__init__(simulation.links.delay_s)
        self._traffic = traffic

    def open(self, address: str) -> Endpoint:
        endpoint = _CountedEndpoint(self._traffic)
        self.endpoints_by_address[address] = endpoint
        return endpoint


class CountedSimulation(Simulation):
    """Counts the traffic of all processes."""

    def __init__(
        self,
        deployment: Deployment,
        *,
        policy: dict[str, Any] | None = None,
    ) -> None:
        """Make the stand-ins; ``start`` makes the processes."""
        super().__init__(deployment, seed=1, policy=policy or {})
        self.traffic = Traffic()
        self.log = CountedLog(self.traffic)
        self.log.on_append(self.ground_truth.record_entry)
        self.environment = self.environment._replace(
            log=self.log,
            network=_CountedNetwork(self, self.traffic),
        )


def new_deployment(
    *,
    routers: int,
    targets: int,
    organisations: int,
) -> Deployment:
    """Return a deployment of one model service in two data centres."""
    return Deployment(
        name='bench',
        seed=1,
        data_centres={name: DataCentreLine(1) for name in DATA_CENTRES},
        routers={
            f'router-{number}': DATA_CENTRES[number % len(DATA_CENTRES)]
            for number in range(routers)
        },
        targets={
            f'target-{number}': TargetLine(
                DATA_CENTRES[number % len(DATA_CENTRES)],
                SERVICE,
                slots=32,
                prefill_tokens_s=20000,
                decode_tokens_s=2000,
                kv_tokens=1000000,
            )
            for number in range(targets)
        },
        services={SERVICE: ServiceLine(ServiceKind.MODEL)},
        organisations={
            f'organisation-{number}': OrganisationLine(BUDGET_TOKENS)
            for number in range(organisations)
        },
    )
