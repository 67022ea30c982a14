"""Checks of a trace's lines against the deployment that they name."""

from collections.abc import Callable, Container, Iterator
from typing import TYPE_CHECKING

from msgspec import UNSET

from dandelioncleat.core.configuration import ServiceKind
from dandelioncleat.replay.measure import MEASURES

if TYPE_CHECKING:
    from dandelioncleat.replay import trace

PROCESS_FAULTS = frozenset(
    (
        'router_crash',
        'router_pause',
        'sidecar_crash',
        'sidecar_pause',
        'target_crash',
    )
)
LOG_FAULTS = frozenset(('log_outage', 'log_slow', 'log_answers_lost'))
REPORT_FAULTS = frozenset(('cache_events_late', 'load_report_lag'))
LOG = 'log'
HOST_LIST = 'host_list'
ALL_ENGINES = 'engines'

Errors = Iterator[str]


def line_errors(
    line: 'trace.TraceLine',
    deployment: 'trace.Deployment',
) -> Errors:
    """Yield the errors of a decoded line."""
    check = _CHECKS_BY_TYPE.get(type(line).__name__)
    if check is None:
        yield 'a deployment is allowed in the first line only'
        return
    yield from check(line, deployment)
    if getattr(line, 'at', 0) < 0:
        yield 'at: must not be negative'


def _check_known(name: str, names: Container[str], kind: str) -> Errors:
    if name not in names:
        yield f'unknown {kind} {name!r}'


def _check_request(
    line: 'trace.Request',
    deployment: 'trace.Deployment',
) -> Errors:
    yield from _check_known(
        line.organisation, deployment.organisations, 'organisation'
    )
    yield from _check_known(line.router, deployment.routers, 'router')
    service = deployment.services.get(line.service)
    if service is None:
        yield f'unknown service {line.service!r}'
    elif service.kind == ServiceKind.MODEL and line.max_tokens < 1:
        yield 'max_tokens: must be at least 1 for a model service'
    elif service.kind == ServiceKind.PLAIN and line.prompt_tokens:
        yield 'prompt_tokens: must be 0 for a plain service'


def _check_fault(line: 'trace.Fault', deployment: 'trace.Deployment') -> Errors:
    if line.for_s <= 0:
        yield 'for_s: must be greater than 0'
    allowed = _allowed_names(line.kind, deployment)
    if allowed is None:
        yield f'unknown fault kind {line.kind!r}'
        return
    for name in line.names:
        if name not in allowed:
            yield f'of: {line.kind} cannot affect {name!r}'
    if (line.kind == 'partition') != (len(line.names) == 2):
        yield 'of: a partition names two ends, any other fault one'


def _allowed_names(
    kind: str,
    deployment: 'trace.Deployment',
) -> set[str] | None:
    if kind in LOG_FAULTS:
        return {LOG}
    if kind == 'host_list_lag':
        return {HOST_LIST}
    if kind == 'partition':
        return {*deployment.data_centres, LOG}
    if kind in REPORT_FAULTS:
        return {*deployment.targets, ALL_ENGINES}
    if kind in PROCESS_FAULTS:
        at_router = kind.startswith('router')
        return set(deployment.routers if at_router else deployment.targets)
    return None


def _check_leave(line: 'trace.Leave', deployment: 'trace.Deployment') -> Errors:
    yield from _check_known(line.target, deployment.targets, 'target')


def _check_stop(line: 'trace.Stop', deployment: 'trace.Deployment') -> Errors:
    yield from _check_known(line.router, deployment.routers, 'router')


def _check_top_up(line: 'trace.TopUpLine', _: 'trace.Deployment') -> Errors:
    if line.tokens < 1:
        yield 'tokens: must be at least 1'


def _check_patch(
    line: 'trace.PatchLine', deployment: 'trace.Deployment'
) -> Errors:
    yield from _check_known(line.router, deployment.routers, 'router')
    added = set(line.patch.get('targets', ())) - set(deployment.targets)
    for name in sorted(added):
        yield f'patch: adding a target ({name}) is not supported'
    for table in sorted(set(line.patch) - _PATCH_TABLES):
        yield f'patch: unknown table {table!r}'


def _check_expect(line: 'trace.Expect', _: 'trace.Deployment') -> Errors:
    if line.measure not in MEASURES:
        yield f'unknown measure {line.measure!r}'
    if (line.at_most is UNSET) == (line.at_least is UNSET):
        yield 'expect: exactly one of at_most and at_least is required'


_PATCH_TABLES = frozenset(('services', 'targets', 'organisations'))
_CHECKS_BY_TYPE: dict[str, Callable[..., Errors]] = {
    'Request': _check_request,
    'Fault': _check_fault,
    'Leave': _check_leave,
    'Stop': _check_stop,
    'TopUpLine': _check_top_up,
    'PatchLine': _check_patch,
    'Expect': _check_expect,
}
