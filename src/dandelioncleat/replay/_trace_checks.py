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
    """Yield what is wrong with a line that could be decoded."""
    check = _CHECKS_BY_TYPE.get(type(line).__name__)
    if check is None:
        yield 'only the first line is a deployment'
        return
    yield from check(line, deployment)
    if getattr(line, 'at', 0) < 0:
        yield 'at: negative time'


def _known(name: str, names: Container[str], kind: str) -> Errors:
    if name not in names:
        yield f'unknown {kind} {name!r}'


def _request(
    line: 'trace.Request',
    deployment: 'trace.Deployment',
) -> Errors:
    yield from _known(
        line.organisation, deployment.organisations, 'organisation'
    )
    yield from _known(line.router, deployment.routers, 'router')
    service = deployment.services.get(line.service)
    if service is None:
        yield f'unknown service {line.service!r}'
    elif service.kind == ServiceKind.MODEL and line.max_tokens < 1:
        yield 'max_tokens: a request to a model needs at least 1'
    elif service.kind == ServiceKind.PLAIN and line.prompt_tokens:
        yield 'prompt_tokens: a plain service has no tokens'


def _fault(line: 'trace.Fault', deployment: 'trace.Deployment') -> Errors:
    if line.for_s <= 0:
        yield 'for_s: a fault lasts for some time'
    allowed = _names_for(line.kind, deployment)
    if allowed is None:
        yield f'unknown kind of fault {line.kind!r}'
        return
    for name in line.names:
        if name not in allowed:
            yield f'of: {line.kind} cannot be of {name!r}'
    if (line.kind == 'partition') != (len(line.names) == 2):
        yield 'of: a partition, and only a partition, names two ends'


def _names_for(
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


def _leave(line: 'trace.Leave', deployment: 'trace.Deployment') -> Errors:
    yield from _known(line.target, deployment.targets, 'target')


def _stop(line: 'trace.Stop', deployment: 'trace.Deployment') -> Errors:
    yield from _known(line.router, deployment.routers, 'router')


def _top_up(line: 'trace.TopUpLine', _: 'trace.Deployment') -> Errors:
    if line.tokens < 1:
        yield 'tokens: a top-up adds at least 1'


def _patch(line: 'trace.PatchLine', deployment: 'trace.Deployment') -> Errors:
    yield from _known(line.router, deployment.routers, 'router')
    added = set(line.patch.get('targets', ())) - set(deployment.targets)
    for name in sorted(added):
        yield f'patch: a patch that adds a target ({name}) is not replayed yet'
    for table in sorted(set(line.patch) - _PATCH_TABLES):
        yield f'patch: unknown table {table!r}'


def _expect(line: 'trace.Expect', _: 'trace.Deployment') -> Errors:
    if line.measure not in MEASURES:
        yield f'unknown measure {line.measure!r}'
    if (line.at_most is UNSET) == (line.at_least is UNSET):
        yield 'expect: exactly one of at_most and at_least'


_PATCH_TABLES = frozenset(('services', 'targets', 'organisations'))
_CHECKS_BY_TYPE: dict[str, Callable[..., Errors]] = {
    'Request': _request,
    'Fault': _fault,
    'Leave': _leave,
    'Stop': _stop,
    'TopUpLine': _top_up,
    'PatchLine': _patch,
    'Expect': _expect,
}
