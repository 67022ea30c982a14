"""An HTTP application that serves the platform."""

import asyncio

import msgspec
from aiohttp import web

from dandelioncleat.core.failure import FailureError
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog
from dandelioncleat.standin.server import json_response
from dandelioncleat.standin.weight_store import WeightStore

UNAVAILABLE = 503
NOT_FOUND = 404
MAX_ENTRY_BYTES = 8 * 1024 * 1024


class Faults(msgspec.Struct):
    """Faults to switch on or off; an absent field changes nothing."""

    log_outage: bool | None = None
    log_slow_s: float | None = None
    log_lost_answer_share: float | None = None
    host_list_lag_s: float | None = None
    host_list_outage: bool | None = None


class HostChange(msgspec.Struct):
    """The new state of a host."""

    data_centre: str = ''
    leaving: bool = False


class Platform:
    """Holds the log, the host list and the weight store."""

    def __init__(
        self,
        log: MemoryLog,
        hosts: MemoryHostList,
        weights: WeightStore,
    ) -> None:
        """Take the parts of the platform."""
        self.log = log
        self.hosts = hosts
        self.weights = weights

    def set_faults(self, faults: Faults) -> None:
        """Switch faults on and off."""
        if faults.log_outage is not None:
            self.log.outage = faults.log_outage
        if faults.log_slow_s is not None:
            self.log.slow_s = faults.log_slow_s
        if faults.log_lost_answer_share is not None:
            self.log.lost_answer_share = faults.log_lost_answer_share
        if faults.host_list_lag_s is not None:
            self.hosts.lag_s = faults.host_list_lag_s
        if faults.host_list_outage is not None:
            self.hosts.outage = faults.host_list_outage


PLATFORM = web.AppKey('platform', Platform)


def new_platform_application(platform: Platform) -> web.Application:
    """Return the application that serves a platform."""
    application = web.Application(client_max_size=MAX_ENTRY_BYTES)
    application[PLATFORM] = platform
    entries = '/streams/{stream}/entries'
    application.router.add_post(entries, _append)
    application.router.add_get(entries, _read)
    application.router.add_get('/hosts', _hosts)
    application.router.add_put('/hosts/{host}', _put_host)
    application.router.add_delete('/hosts/{host}', _delete_host)
    application.router.add_get('/weights/{name}', _weights)
    application.router.add_put('/faults', _put_faults)
    return application


async def _append(request: web.Request) -> web.Response:
    log = request.app[PLATFORM].log
    data = await request.read()
    # A disconnect of the caller must not cancel an append.
    append = asyncio.ensure_future(
        log.append(request.match_info['stream'], data)
    )
    try:
        offset = await asyncio.shield(append)
    except FailureError as error:
        return _unavailable(error)
    return json_response(msgspec.json.encode({'offset': offset}))


async def _read(request: web.Request) -> web.Response:
    try:
        page = await request.app[PLATFORM].log.read(
            request.match_info['stream'],
            start=int(request.query['start']),
            limit=int(request.query['limit']),
            wait_s=float(request.query['wait_s']),
        )
    except FailureError as error:
        return _unavailable(error)
    return web.Response(
        body=msgspec.msgpack.encode(page),
        content_type='application/msgpack',
    )


async def _hosts(request: web.Request) -> web.Response:
    try:
        hosts = await request.app[PLATFORM].hosts.hosts()
    except FailureError as error:
        return _unavailable(error)
    encoded = [host._asdict() for host in hosts]
    return json_response(msgspec.json.encode(encoded))


async def _put_host(request: web.Request) -> web.Response:
    change = msgspec.json.decode(await request.read(), type=HostChange)
    hosts = request.app[PLATFORM].hosts
    host = request.match_info['host']
    hosts.set_live(host, change.data_centre)
    if change.leaving:
        hosts.set_leaving(host)
    return web.Response()


async def _delete_host(request: web.Request) -> web.Response:
    request.app[PLATFORM].hosts.remove(request.match_info['host'])
    return web.Response()


async def _weights(request: web.Request) -> web.Response:
    weights = request.app[PLATFORM].weights
    try:
        size = await weights.fetch(request.match_info['name'])
    except KeyError:
        return web.Response(status=NOT_FOUND)
    return json_response(msgspec.json.encode({'bytes': size}))


async def _put_faults(request: web.Request) -> web.Response:
    faults = msgspec.json.decode(await request.read(), type=Faults)
    request.app[PLATFORM].set_faults(faults)
    return web.Response()


def _unavailable(error: FailureError) -> web.Response:
    body = msgspec.json.encode({'error': {'message': str(error)}})
    return json_response(body, UNAVAILABLE)
