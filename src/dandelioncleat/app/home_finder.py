"""Finds the home of a request's key and asks it for a run."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import suppress

from msgspec import structs

from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.fleet import FleetKeeper
from dandelioncleat.core.failure import Code, FailureError, failure_error
from dandelioncleat.core.fleet import SIDECAR
from dandelioncleat.core.home import home_order
from dandelioncleat.core.identity import Incarnation, RequestKey, RunId
from dandelioncleat.core.message import (
    AskStatus,
    Attach,
    Begin,
    Message,
    NotHome,
    Placed,
    Refusal,
    Report,
)
from dandelioncleat.core.reachability import ProcessLocation, Reachability
from dandelioncleat.core.request import CallerRequest
from dandelioncleat.core.retry import backoff_s
from dandelioncleat.core.slot import slot_of
from dandelioncleat.ports.peer import Peers

ATTACH_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 8.0
REPORT_TIMEOUT_S = 2.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
SEARCH_SHARE = 0.5
MAX_HOMES = 4
MS_PER_S = 1000
TRANSIENT_CODES = frozenset((Code.NOT_READY, Code.LEAVING, Code.NOT_HOME))

AttachReply = Begin | Placed | Refusal


class HomeFinder:
    """Asks homes in rendezvous order, or the slot owners learned so far."""

    def __init__(
        self,
        *,
        peers: Peers,
        fleet: FleetKeeper,
        configuration: ConfigurationKeeper,
        source: random.Random,
    ) -> None:
        """Take the peers, the fleet and the configuration."""
        self._peers = peers
        self._fleet = fleet
        self._configuration = configuration
        self._random = source
        self._owners_by_slot: dict[tuple[str, int], Incarnation] = {}
        self._members_by_service: dict[str, tuple[Incarnation, ...]] = {}
        self._reachability = Reachability()
        fleet.on_change(self._update_members)

    async def attach(
        self,
        request: CallerRequest,
        executor: Incarnation,
        *,
        deadline: float,
        traceparent: str,
    ) -> AttachReply:
        """Ask for a run; raise ``FailureError`` if no home could answer.

        :param executor: where a new run would be; empty to only find one
        :param deadline: time of the event loop in seconds
        """
        message = Attach(
            request.request,
            request.service,
            request.digest,
            request.idempotent,
            executor,
        )
        if request.idempotent:
            homes = self._homes(request)
        else:
            homes = self._owners(request)
        failure = failure_error(
            Code.UNREACHABLE,
            step='attach',
            peer='',
            text='the service has no live sidecar',
        )
        give_up_at = _search_end(deadline)
        for attempt, home in enumerate(homes, start=1):
            with_age = _with_age(message, deadline - request.deadline_s)
            try:
                return await self._ask(home, with_age, deadline, traceparent)
            except FailureError as error:
                failure = error
            if asyncio.get_running_loop().time() > give_up_at:
                break
            if not request.idempotent:
                await asyncio.sleep(backoff_s(attempt, self._random))
        raise failure

    async def report(self, run: RunId, *, status: int, ran: bool) -> None:
        """Report a run's end to its home; a home that is gone is skipped."""
        with suppress(FailureError):
            await self._call(
                run.home,
                Report(run, status, ran),
                timeout_s=REPORT_TIMEOUT_S,
            )

    def members(self, service: str) -> tuple[Incarnation, ...]:
        """Return the live sidecars of a service."""
        known = self._members_by_service.get(service)
        if known is None:
            known = tuple(
                member.join.incarnation
                for member in self._fleet.fold.live(SIDECAR)
                if member.join.service == service
            )
            self._members_by_service[service] = known
        return known

    def _update_members(self) -> None:
        self._members_by_service.clear()
        live = self._fleet.fold.live(SIDECAR)
        self._reachability.retain(
            tuple(member.join.incarnation for member in live),
        )

    def _homes(self, request: CallerRequest) -> Iterator[Incarnation]:
        order = home_order(request.request, self.members(request.service))
        places = tuple(self._place(home) for home in order)
        now = asyncio.get_running_loop().time()
        for place in self._reachability.order(places, now)[:MAX_HOMES]:
            yield place.process

    def _place(self, home: Incarnation) -> ProcessLocation:
        member = self._fleet.fold.members_by_incarnation[home]
        return ProcessLocation(home, member.join.data_centre)

    def _owners(self, request: CallerRequest) -> Iterator[Incarnation]:
        slot = self._slot(request.service, request.request)
        members = self.members(request.service)
        while members:
            for guess in home_order(request.request, members):
                owner = self._owners_by_slot.get(slot, guess)
                yield owner
                # The owner may have redirected the request to another one.
                named = self._owners_by_slot.get(slot)
                if named is not None and named != owner:
                    yield named
                self._owners_by_slot.pop(slot, None)
            members = self.members(request.service)

    def _slot(self, service: str, request: RequestKey) -> tuple[str, int]:
        settings = self._configuration.current.services_by_name.get(service)
        slots = 1 if settings is None else settings.slots
        return service, slot_of(request, slots)

    async def _ask(
        self,
        home: Incarnation,
        message: Attach,
        deadline: float,
        traceparent: str,
    ) -> AttachReply:
        limit_s = ATTACH_TIMEOUT_S if message.idempotent else CLAIM_TIMEOUT_S
        remaining_s = deadline - asyncio.get_running_loop().time()
        reply = await self._call_home(
            home,
            message,
            timeout_s=max(0, min(limit_s, remaining_s)),
            traceparent=traceparent,
        )
        match reply:
            case NotHome():
                slot = self._slot(message.service, message.request)
                if reply.owner:
                    self._owners_by_slot[slot] = reply.owner
                raise _not_home_error(home)
            case Refusal() if reply.code in TRANSIENT_CODES:
                raise failure_error(
                    reply.code,
                    step=reply.step,
                    peer=reply.peer,
                    text=reply.text,
                )
            case Begin() | Placed() | Refusal():
                self._note_owner(home, message)
                return reply
            case _:
                raise _not_home_error(home)

    def _note_owner(self, home: Incarnation, message: Attach) -> None:
        if not message.idempotent:
            slot = self._slot(message.service, message.request)
            self._owners_by_slot[slot] = home

    async def _call_home(
        self,
        home: Incarnation,
        message: Attach,
        *,
        timeout_s: float,
        traceparent: str,
    ) -> Message:
        try:
            reply = await self._call_while_alive(
                home,
                message,
                timeout_s=timeout_s,
                traceparent=traceparent,
            )
        except FailureError:
            now = asyncio.get_running_loop().time()
            self._reachability.note_failure(self._place(home), now)
            raise
        self._reachability.note_answer(home)
        return reply

    async def _call_while_alive(
        self,
        home: Incarnation,
        message: Attach,
        *,
        timeout_s: float,
        traceparent: str,
    ) -> Message:
        """Wait for a reply, but give up if the home does not answer probes."""
        call = asyncio.ensure_future(
            self._call(
                home,
                message,
                timeout_s=timeout_s,
                traceparent=traceparent,
            ),
        )
        try:
            while not await _is_done(call, PROBE_INTERVAL_S):
                await self._call(home, AskStatus(), timeout_s=PROBE_TIMEOUT_S)
            return call.result()
        finally:
            call.cancel()

    async def _call(
        self,
        peer: Incarnation,
        message: Message,
        *,
        timeout_s: float,
        traceparent: str = '',
    ) -> Message:
        member = self._fleet.fold.members_by_incarnation.get(peer)
        if member is None or member.ended:
            raise failure_error(
                Code.UNREACHABLE,
                step='attach',
                peer=peer,
                text='the process has left the fleet',
            )
        return await self._peers.call(
            member.join.address,
            message,
            timeout_s=timeout_s,
            traceparent=traceparent,
        )


def _with_age(message: Attach, arrived_at: float) -> Attach:
    age_s = asyncio.get_running_loop().time() - arrived_at
    return structs.replace(message, age_ms=max(0, int(age_s * MS_PER_S)))


def _search_end(deadline: float) -> float:
    now = asyncio.get_running_loop().time()
    return now + SEARCH_SHARE * (deadline - now)


async def _is_done(call: 'asyncio.Future[Message]', wait_s: float) -> bool:
    done, _ = await asyncio.wait((call,), timeout=wait_s)
    return bool(done)


def _not_home_error(home: Incarnation) -> FailureError:
    return failure_error(
        Code.NOT_HOME,
        step='attach',
        peer=home,
        text='another sidecar owns the key',
    )
