"""Checks whether an executor may run a dispatched request."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure as Failed
from returns.result import Result, Success

from dandelioncleat.core.configuration import Service, ServiceKind
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.identity import (
    Digest,
    Incarnation,
    organisation_of,
)
from dandelioncleat.core.message import Dispatch

DISPATCH_STEP = 'dispatch'


class ExecutorState(NamedTuple):
    """The state of an executor that decides whether a dispatch may run.

    ``service`` is ``None`` until the configuration defines it;
    ``refusal_code`` is the code with which all new work is refused, if any.
    """

    incarnation: Incarnation
    service: Service | None
    refusal_code: Code | None
    is_retired: Callable[[Incarnation], bool]
    is_poison: Callable[[Digest], bool]


def check_dispatch(
    dispatch: Dispatch,
    state: ExecutorState,
) -> Result[Dispatch, Failure]:
    """Return the dispatch if it may run, otherwise why it may not."""
    checks = (
        _executor_failure,
        _availability_failure,
        _fence_failure,
        _poison_failure,
        _token_failure,
        _deadline_failure,
    )
    for check in checks:
        failure = check(dispatch, state)
        if failure is not None:
            return Failed(failure)
    return Success(dispatch)


def start_failure(dispatch: Dispatch, state: ExecutorState) -> Failure | None:
    """Return why a queued dispatch may no longer start, if so."""
    failure = _fence_failure(dispatch, state)
    return failure or _poison_failure(dispatch, state)


def worst_case_tokens(dispatch: Dispatch, service: Service) -> int:
    """Return the most tokens that a dispatched run can consume."""
    if service.kind is ServiceKind.MODEL:
        return dispatch.prompt_bound + dispatch.cap
    return dispatch.prompt_bound


def drawn_tokens(dispatch: Dispatch) -> int:
    """Return the total of tokens that a dispatch may draw."""
    return sum(draw.tokens for draw in dispatch.draws)


def _executor_failure(
    dispatch: Dispatch, state: ExecutorState
) -> Failure | None:
    if dispatch.executor != state.incarnation:
        return _failure(
            Code.FENCED, state, 'the dispatch is for another process'
        )
    return None


def _availability_failure(
    dispatch: Dispatch, state: ExecutorState
) -> Failure | None:
    if state.refusal_code is not None:
        return _failure(
            state.refusal_code, state, 'the target takes no new work'
        )
    if state.service is None:
        return _failure(Code.NOT_READY, state, 'the service is not configured')
    if dispatch.service != state.service.name:
        return _failure(
            Code.INVALID, state, 'the target serves another service'
        )
    return None


def _fence_failure(dispatch: Dispatch, state: ExecutorState) -> Failure | None:
    for draw in dispatch.draws:
        if state.is_retired(draw.grant.holder):
            holder = draw.grant.holder
            return _failure(Code.FENCED, state, f'{holder} is retired')
    return None


def _poison_failure(dispatch: Dispatch, state: ExecutorState) -> Failure | None:
    if state.is_poison(dispatch.digest):
        return _failure(Code.POISON, state, 'the request has crashed targets')
    return None


def _token_failure(dispatch: Dispatch, state: ExecutorState) -> Failure | None:
    if organisation_of(dispatch.budget) != dispatch.run.organisation:
        return _failure(
            Code.INVALID, state, 'the budget is of another organisation'
        )
    amounts = [draw.tokens for draw in dispatch.draws]
    amounts.extend((dispatch.prompt_bound, dispatch.cap))
    if min(amounts) < 0:
        return _failure(Code.INVALID, state, 'a number of tokens is negative')
    service = state.service
    if service is None:
        return None
    if worst_case_tokens(dispatch, service) > drawn_tokens(dispatch):
        return _failure(
            Code.INVALID, state, 'the draws do not cover the worst case'
        )
    return None


def _deadline_failure(
    dispatch: Dispatch, state: ExecutorState
) -> Failure | None:
    if dispatch.deadline_ms <= 0:
        return _failure(Code.DEADLINE, state, 'the deadline has passed')
    return None


def _failure(code: Code, state: ExecutorState, text: str) -> Failure:
    return Failure(code, DISPATCH_STEP, state.incarnation, text)
