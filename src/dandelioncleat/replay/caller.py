"""Sends the requests of a trace and notes what each caller receives."""

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
from dandelioncleat.replay.facts import Circumstances, Receipt
from dandelioncleat.replay.ground_truth import request_body
from dandelioncleat.replay.process import Process
from dandelioncleat.replay.trace import Request
from dandelioncleat.replay.world import World
from dandelioncleat.standin.prompt import named_prefix

PLAIN_PATH = '/calls'
JSON_TYPE = 'application/json'


class Caller:
    """One caller with one request."""

    def __init__(self, request: Request, world: World) -> None:
        """Take the request and the world that it is sent to."""
        self._request = request
        self._world = world
        self._sent_at = _now()
        self._last_at: float = -1
        self._first_at: float = -1
        self._gaps_s: list[float] = []
        self._parts: list[bytes] = []
        self._end: AnswerEnd | None = None
        self._during_stop = False

    async def call(self, router: Router, process: Process) -> None:
        """Send the request and receive its answer."""
        events = router.serve(self._caller_request())
        async with aclosing(events):  # type: ignore[type-var]
            async for event in events:
                await process.pass_through()
                self._during_stop |= process.stopping
                self._take(event)

    def receipt(self) -> Receipt:
        """Return what was received up to now."""
        router = self._request.router
        request = self._request
        return Receipt(
            request=request,
            sent_at=self._sent_at,
            ended_at=_now(),
            first_token_at=self._first_at,
            gaps_s=tuple(self._gaps_s),
            data=b''.join(self._parts),
            expected=expected_answer(request, self._kind),
            worst_case=self._world.ground.worst_case(request),
            end=self._end,
            circumstances=Circumstances(
                self._world.ground.balance(request.organisation),
                self._world.has_free_slot(request.service, router),
                self._world.log_in_reach(router),
            ),
            during_planned_stop=self._during_stop,
        )

    @property
    def _kind(self) -> ServiceKind:
        services = self._world.deployment.services
        return services[self._request.service].kind

    def _take(self, event: AnswerEvent) -> None:
        match event:
            case AnswerPiece():
                self._take_piece(event)
            case AnswerEnd():
                self._end = event

    def _take_piece(self, piece: AnswerPiece) -> None:
        now = _now()
        self._parts.append(piece.data)
        if self._first_at < 0:
            self._first_at = now
        elif piece.tokens:
            gap_s = (now - self._last_at) / piece.tokens
            self._gaps_s.extend(repeat(gap_s, piece.tokens))
        self._last_at = now

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
                else self._world.ground.worst_case(line)
            ),
            cap=line.max_tokens,
            priority=line.priority,
            deadline_s=line.deadline_s,
            prefixes=prefixes,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
