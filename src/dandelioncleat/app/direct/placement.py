"""Chooses targets for requests."""

import asyncio
from typing import NamedTuple

import structlog

from dandelioncleat.app.direct.open_targets import OpenTargets
from dandelioncleat.app.direct.run_context import PrefixFetch, RunContext
from dandelioncleat.app.direct.target_directory import TargetDirectory
from dandelioncleat.app.direct.target_state import TargetState
from dandelioncleat.app.direct.topic_age import AgedTopic, rounded_age_s
from dandelioncleat.core.direct_request import ModelPrompt
from dandelioncleat.core.prefix_fetch import PrefixSource, allows_fetches
from dandelioncleat.core.stream_origin import StreamOrigin
from dandelioncleat.core.target_choice import (
    PromptChoice,
    choose_for_prompt,
    choose_plain,
    choose_with_fetch,
)
from dandelioncleat.core.target_pace import usual_pace
from dandelioncleat.core.target_snapshot import TargetSnapshot

_logger = structlog.get_logger(__name__)


class ChosenTarget(NamedTuple):
    """A chosen target, its state at that time and the candidate count.

    ``wait_s`` is the time until its limit lets this host send the request.
    """

    state: TargetState
    view: TargetSnapshot
    candidates: int
    wait_s: float = 0
    prefix_fetch: PrefixFetch | None = None


class Placement:
    """Chooses a target for each attempt."""

    def __init__(
        self,
        directory: TargetDirectory,
        *,
        topic: AgedTopic,
        open_targets: OpenTargets,
        data_centre: str,
    ) -> None:
        """Initialise with the targets.

        :param topic: what the list of targets is read from
        :param open_targets: which targets take a request
        """
        self._directory = directory
        self._topic = topic
        self._open = open_targets
        self._data_centre = data_centre

    def has_candidate(self, context: RunContext) -> bool:
        """Return whether an untried target takes the request in time."""
        return self._open.next_turn(context) is not None

    def has_idle_candidate(self, context: RunContext) -> bool:
        """Return whether an untried target has a free slot at once."""
        now = _now()
        views = (
            state.view(data_centre=self._data_centre, now=now)
            for state in self._open.candidates(context)
            if not state.is_paused(now)
        )
        return any(
            not view.waiting and view.running < view.slots for view in views
        )

    async def read_list(self) -> bool:
        """Read all changes of the list until now; return whether that is done.

        A target of another version may have joined unseen, or have started
        under a known id.
        """
        return await self._topic.confirm(max_age_s=0)

    def has_target_of_origin(self, context: RunContext) -> bool:
        """Return whether the caller's stream may be resumed anywhere."""
        service = context.admitted.service.name
        states = self._directory.available(service)
        return any(context.fits(state.entry) for state in states)

    def only_origin(self, service: str) -> StreamOrigin | None:
        """Return the origin of all streams that callers may resume now.

        ``None`` unless one version has served alone since they began.
        """
        versions = self._directory.recent_versions(service)
        if len(versions) != 1:
            return None
        return StreamOrigin(service, versions.pop())

    def choose(self, context: RunContext) -> ChosenTarget | None:
        """Return the best untried target, if there is one.

        If targets are limited, this takes the turn of one of them.
        """
        now = _now()
        states = self._open.candidates(context)
        if not states:
            return self._wait_for_turn(context, now)
        usual = usual_pace(state.pace for state in states)
        views = [
            state.view(data_centre=self._data_centre, now=now, usual_pace=usual)
            for state in states
        ]
        prompt = context.request.prompt
        if prompt is None:
            choice = PromptChoice(choose_plain(views, context.request.id))
        else:
            choice = _choose_for_prompt(context, views, prompt)
        states_by_id = {state.entry.id: state for state in states}
        state = states_by_id[choice.target.id]
        self._open.take_turn(state)
        return ChosenTarget(
            state,
            choice.target,
            len(states),
            prefix_fetch=_prefix_fetch(choice.source, states_by_id),
        )

    def log_choice(self, context: RunContext, choice: ChosenTarget) -> None:
        """Log a placement and the inputs of the choice."""
        view = choice.view
        fetch = choice.prefix_fetch
        prompt = context.request.prompt
        unread = 0 if prompt is None else view.held_parts.unread_tokens(prompt)
        _logger.info(
            'request placed',
            request=context.request.id,
            target=view.id,
            service=context.admitted.service.name,
            candidates=choice.candidates,
            running=view.running,
            waiting=view.waiting,
            load_age_s=choice.state.occupancy_age_s(_now()),
            backlog_tokens=view.backlog_tokens,
            unread_tokens=unread,
            software_version=choice.state.entry.software_version,
            list_age_s=rounded_age_s(self._topic),
            resume_after=context.resume_after,
            resumed_request=context.request.resumed_request,
            version=context.admitted.version,
            attempt=context.attempts_sent + 1,
            limit_per_s=self._open.limit_per_s(choice.state),
            is_cold=view.is_cold,
            slowness=round(view.slowness, 2),
            turn_wait_s=round(choice.wait_s, 3),
            prefix_source=None if fetch is None else fetch.address,
            saved_tokens=0 if fetch is None else fetch.saved_tokens,
            left_ms=int(1000 * context.remaining_s),
        )

    def _wait_for_turn(
        self, context: RunContext, now: float
    ) -> ChosenTarget | None:
        turn = self._open.next_turn(context)
        if turn is None:
            return None
        self._open.take_turn(turn.state)
        view = turn.state.view(data_centre=self._data_centre, now=now)
        return ChosenTarget(turn.state, view, 1, turn.wait_s)


def _choose_for_prompt(
    context: RunContext, views: list[TargetSnapshot], prompt: ModelPrompt
) -> PromptChoice:
    if prompt.parts and allows_fetches(context.admitted.service.engine):
        return choose_with_fetch(views, prompt, context.request.id)
    return PromptChoice(choose_for_prompt(views, prompt))


def _prefix_fetch(
    source: PrefixSource | None, states_by_id: dict[str, TargetState]
) -> PrefixFetch | None:
    if source is None:
        return None
    address = states_by_id[source.target].entry.address
    return PrefixFetch(address, int(source.saved_tokens))


def _now() -> float:
    return asyncio.get_running_loop().time()
