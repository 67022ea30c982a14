"""Versions of the configuration that take things away from requests."""

import asyncio
from functools import partial

# Pause between two versions, in seconds.
PAUSE_S = (0.2, 1.2)


async def take_away(soak, source):
    """Write versions that change much, each followed by the whole one."""
    while True:
        for change in (source.choice(CHANGES), _leave):
            await asyncio.sleep(source.uniform(*PAUSE_S))
            soak.write_configuration(partial(change, source=source))


def _leave(document, source):
    """Change nothing."""


def _drop_route(document, source):
    document['routes'].remove(source.choice(document['routes']))


def _drop_all_routes(document, source):
    document['routes'].clear()


def _move_route(document, source):
    names = [service['name'] for service in document['services']]
    source.choice(document['routes'])['service'] = source.choice(names)


def _drop_service(document, source):
    document['services'].remove(source.choice(document['services']))


def _change_key(document, source):
    document['tenants'][0]['apiKeys'] = ['another']


def _drop_organisation(document, source):
    document['tenants'] = [{'name': 'other', 'apiKeys': ['another']}]


def _change_prepaid(document, source):
    tenant = document['tenants'][0]
    if source.random() < 1 / 2:
        del tenant['prepaid']
    else:
        tenant['prepaid'] = source.randrange(1, 10_000)


def _tighten_limits(document, source):
    limits = document['limits']
    name, least = source.choice(
        (
            ('headerBytes', 300),
            ('bodyBytes', 20),
            ('headerMs', 20),
            ('idleMs', 20),
        )
    )
    limits[name] = least


def _shorten_timeouts(document, source):
    for route in document['routes']:
        route['timeoutMs'] = source.randrange(50, 400)
        route['sloMs'] = route['timeoutMs'] // 2


def _change_routes(document, source):
    for route in document['routes']:
        route['resumable'] = not route['resumable']
        route['maxAttempts'] = source.randint(1, 3)
        route['priority'] = source.randint(0, 3)


def _change_engine(document, source):
    for service in document['services']:
        service['maxConnections'] = source.randint(1, 3)
        if source.random() < 1 / 2:
            service.pop('engine', None)


CHANGES = (
    _drop_route,
    _drop_all_routes,
    _move_route,
    _drop_service,
    _change_key,
    _drop_organisation,
    _change_prepaid,
    _tighten_limits,
    _shorten_timeouts,
    _change_routes,
    _change_engine,
)
