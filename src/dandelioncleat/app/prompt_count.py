"""Counts a prompt by the tokenizer of a target, through its sidecar."""

from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.load_watch import LoadWatch
from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.message import AskTokenCount, TokenCount
from dandelioncleat.core.request import CallerRequest
from dandelioncleat.ports.peer import Peers

COUNT_TIMEOUT_S = 0.5


class PromptCounter:
    """Asks sidecars, so that a bound by bytes causes no refusal."""

    def __init__(
        self,
        *,
        peers: Peers,
        watch: LoadWatch,
        configuration: ConfigurationKeeper,
    ) -> None:
        """Take the peers, the known targets and the configuration."""
        self._peers = peers
        self._watch = watch
        self._configuration = configuration

    async def count(self, request: CallerRequest) -> int | None:
        """Return the tokens of a model's prompt, if a target can count."""
        services = self._configuration.current.services_by_name
        service = services.get(request.service)
        if service is None or service.kind is not ServiceKind.MODEL:
            return None
        for candidate in self._watch.candidates(request.service):
            join = self._watch.join_of(candidate.sidecar)
            if join is not None:
                return await self._ask(join.address, request)
        return None

    async def _ask(self, address: str, request: CallerRequest) -> int | None:
        ask = AskTokenCount(request.path, request.content_type, request.body)
        try:
            reply = await self._peers.call(
                address,
                ask,
                timeout_s=COUNT_TIMEOUT_S,
            )
        except FailureError:
            return None
        return reply.tokens if isinstance(reply, TokenCount) else None
