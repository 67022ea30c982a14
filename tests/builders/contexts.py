"""Builders of the contexts of requests."""

from dandelioncleat.app.direct.admission import Admitted
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.core.deployment import (
    CallKind,
    Route,
    Service,
    WeightedService,
)
from dandelioncleat.core.direct_request import DirectRequest

SERVICE = 's'
_ROUTE = {
    'name': 'r',
    'host': 'h',
    'prefix': '/',
    'kind': CallKind.IDEMPOTENT,
    'shares': (WeightedService(SERVICE, 1),),
    'timeout_s': 5,
    'objective_s': 0.2,
    'priority': 0,
    'attempts': 2,
    'is_public': True,
    'is_resumable': False,
}


def new_context(*, wait_s=5, headers=(), **route):
    """Return the context of a request that arrives now.

    :param wait_s: time that its caller waits, in seconds
    :param headers: names and texts of its headers
    :param route: fields of its route that differ
    """
    request = DirectRequest('q', 'GET', 'h', '/a', headers, b'', wait_s=wait_s)
    admitted = Admitted(
        1, Route(**{**_ROUTE, **route}), Service(SERVICE, '/', 9), None
    )
    return RunContext(request, admitted)
