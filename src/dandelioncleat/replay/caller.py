"""Sends the requests of a trace and records what each caller receives."""

import asyncio
import hashlib
from contextlib import aclosing
from itertools import repeat

from dandelioncleat.app.router import Router
from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.core.identity import BudgetId, Digest, RequestKey
from dandelioncleat.core.request import (
    AnswerEnd,
    AnswerEvent,
    AnswerPiece,
    CallerRequest,
)
from dandelioncleat.replay.expected import expected_answer
from dandelioncleat.replay.facts import FleetConditions, ReceivedAnswer
from dandelioncleat.replay.ground_truth import request_body
from dandelioncleat.replay.process import Process
from dandelioncleat.replay.simulation import Simulation
from dandelioncleat.replay.trace import Request
from dandelioncleat.standin.prompt import named_prefix

PLAIN_PATH = '/calls'
JSON_TYPE = 'application/json'


class Caller:
    """Sends one request and records its answer."""

    def __init__(self, request: Request, simulation: Simulation) -> None:
        """Store the request and the simulation that it is sent to."""
        self._request = request
        self._simulation = simulation
        self._sent_at = _now()
        self._last_piece_at: float = -1
        self._first_piece_at: float = -1
        self._gaps_s: list[float] = []
        self._pieces: list[bytes] = []
        self._end: AnswerEnd | None = None
        self._during_stop = False

    async def call(self, router: Router, process: Process) -> None:
        """Send the request and receive its answer."""
        events = router.serve(self._caller_request())
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                await process.pass_through()
                self._during_stop |= process.stopping
                self._handle_event(event)

    def received_answer(self) -> ReceivedAnswer:
        """Return what was received so far."""
        router = self._request.router
        request = self._request
        return ReceivedAnswer(
            request=request,
            sent_at=self._sent_at,
            ended_at=_now(),
            first_token_at=self._first_piece_at,
            gaps_s=tuple(self._gaps_s),
            data=b''.join(self._pieces),
            expected=expected_answer(request, self._kind),
            max_total_tokens=self._simulation.ground_truth.max_total_tokens(
                request
            ),
            end=self._end,
            conditions=FleetConditions(
                self._simulation.ground_truth.balance(request.organisation),
                self._simulation.has_free_slot(request.service, router),
                self._simulation.is_log_reachable(router),
            ),
            during_planned_stop=self._during_stop,
        )

    @property
    def _kind(self) -> ServiceKind:
        services = self._simulation.deployment.services
        return services[self._request.service].kind

    def _handle_event(self, event: AnswerEvent) -> None:
        match event:
            case AnswerPiece():
                self._handle_piece(event)
            case AnswerEnd():
                self._end = event

    def _handle_piece(self, piece: AnswerPiece) -> None:
        now = _now()
        self._pieces.append(piece.data)
        if self._first_piece_at < 0:
            self._first_piece_at = now
        elif piece.tokens:
            gap_s = (now - self._last_piece_at) / piece.tokens
            self._gaps_s.extend(repeat(gap_s, piece.tokens))
        self._last_piece_at = now

    def _caller_request(self) -> CallerRequest:
        line = self._request
        body = request_body(line)
        is_model = self._kind == ServiceKind.MODEL
        prefixes = (named_prefix(line.prefix),) if line.prefix else ()
        method = 'GET' if line.idempotent else 'POST'
        path = '/v1/completions' if is_model else PLAIN_PATH
        return CallerRequest(
            request=RequestKey(line.organisation, line.key),
            budget=BudgetId(line.organisation),
            service=line.service,
            method='POST' if is_model else method,
            path=path,
            content_type=JSON_TYPE,
            body=body,
            digest=Digest(hashlib.sha256(body).hexdigest()),
            idempotent=line.idempotent,
            prompt_bound=(
                line.prompt_tokens
                if is_model
                else self._simulation.ground_truth.max_total_tokens(line)
            ),
            cap=line.max_tokens,
            priority=line.priority,
            deadline_s=line.deadline_s,
            prefixes=prefixes,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
