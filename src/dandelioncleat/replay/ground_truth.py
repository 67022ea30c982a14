"""Ground truth of budgets, runs and free slots, for the measures."""

from collections.abc import Iterator

import msgspec

from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.core.envelope import ledger_codec
from dandelioncleat.core.identity import RequestKey
from dandelioncleat.core.record import TopUp
from dandelioncleat.ports.log import Entry
from dandelioncleat.replay.facts import TargetRun, TopUpFact
from dandelioncleat.replay.standins import (
    ModelStandin,
    PlainStandin,
    Standin,
)
from dandelioncleat.replay.trace import Deployment, Request

LEDGER_PREFIX = 'ledger-'
CHECKPOINTS_SUFFIX = '.checkpoints'


class GroundTruth:
    """Derives budgets, runs and free slots from the stand-ins and the log."""

    def __init__(
        self,
        deployment: Deployment,
        standins_by_target: dict[str, Standin],
    ) -> None:
        """Store the deployment and its stand-ins."""
        self.top_ups: list[TopUpFact] = []
        self.requests_by_key: dict[RequestKey, Request] = {}
        self._deployment = deployment
        self._standins_by_target = standins_by_target
        self._seen_references: set[tuple[str, str]] = set()
        self._codec = ledger_codec()

    def record_entry(self, stream: str, entry: Entry) -> None:
        """Record the top-ups in an appended entry."""
        if not is_ledger_stream(stream):
            return
        for envelope in self._codec.decode(entry.data):
            for record in envelope.records:
                if isinstance(record, TopUp):
                    self._record_top_up(entry.appended_at, record)

    def runs(self) -> Iterator[TargetRun]:
        """Yield every run that occupied a slot, target by target."""
        for standin in self._standins_by_target.values():
            match standin:
                case ModelStandin():
                    yield from self._model_runs(standin)
                case PlainStandin():
                    yield from self._plain_runs(standin)

    def balance(self, organisation: str) -> int:
        """Return what remains if each running request uses its maximum."""
        remaining = sum(
            top_up.tokens
            for top_up in self.top_ups
            if top_up.organisation == organisation
        )
        for run in self.runs():
            if run.key.organisation == organisation:
                running = run.ended_at < 0
                remaining -= run.max_total_tokens if running else run.tokens
        return remaining

    def has_free_slot(self, target: str) -> bool:
        """Return whether a target could start one more run."""
        standin = self._standins_by_target[target]
        match standin:
            case ModelStandin():
                down = standin.engine.down
                runs = self._model_runs(standin)
            case PlainStandin():
                down = standin.plain.down
                runs = self._plain_runs(standin)
        running = sum(run.ended_at < 0 for run in runs)
        return not down and running < self._deployment.targets[target].slots

    def max_total_tokens(self, request: Request) -> int:
        """Return the most tokens that a request may consume."""
        service = self._deployment.services[request.service]
        if service.kind == ServiceKind.PLAIN:
            return service.price_tokens
        return request.prompt_tokens + request.max_tokens

    def _record_top_up(self, at: float, record: TopUp) -> None:
        reference = (record.budget, record.reference)
        if reference in self._seen_references:
            return
        self._seen_references.add(reference)
        organisation = record.budget.partition('/')[0]
        self.top_ups.append(TopUpFact(at, organisation, record.tokens))

    def _model_runs(self, standin: ModelStandin) -> Iterator[TargetRun]:
        for run in standin.engine.runs:
            if run.started:
                yield TargetRun(
                    RequestKey(run.run.organisation, run.run.key),
                    standin.name,
                    idempotent=True,
                    started_at=run.started_at,
                    ended_at=run.ended_at,
                    tokens=run.tokens,
                    max_total_tokens=run.reserved_tokens,
                )

    def _plain_runs(self, standin: PlainStandin) -> Iterator[TargetRun]:
        for run in standin.plain.runs:
            if run.took_effect:
                yield TargetRun(
                    RequestKey(run.run.organisation, run.run.key),
                    standin.name,
                    idempotent=run.idempotent,
                    started_at=run.started_at,
                    ended_at=run.ended_at,
                    tokens=standin.price_tokens,
                    max_total_tokens=standin.price_tokens,
                )


def is_ledger_stream(stream: str) -> bool:
    """Return whether a stream holds ledger records."""
    return stream.startswith(LEDGER_PREFIX) and not stream.endswith(
        CHECKPOINTS_SUFFIX,
    )


def request_body(request: Request) -> bytes:
    """Return the body that a target receives for a trace's request."""
    text = request.body or f'{request.organisation} {request.key}'
    standin_options = {
        'prompt_tokens': request.prompt_tokens,
        'output_tokens': request.output_tokens,
        'poison': request.poison,
        'prefix': request.prefix,
    }
    body = {
        'prompt': text,
        'max_tokens': request.max_tokens,
        'standin': standin_options,
    }
    return msgspec.json.encode(body)
