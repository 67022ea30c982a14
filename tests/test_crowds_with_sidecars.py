"""Crowds before the router and the sidecar of a fleet with sidecars.

The crowds and the bounds are fixed; nothing here depends on the speed of the
machine.
"""

import asyncio

from tests.builders.configuration import build_key
from tests.builders.crowd_case import CrowdCase
from tests.soak.crowd_forms import (
    COUNTS,
    NO_BODY,
    ahead,
    head_crowd,
    head_forms,
    large_head,
)
from tests.soak.crowds import Crowd, head, play_at
from tests.soak.sidecar_crowds import CALLER, OPERATOR, SERVICE, running_fleet

# The memory that a process takes unless its settings say otherwise, in MiB.
MEMORY_MB = 128
MAX_FDS = 4096
SERVICE_PATH = b'/services/' + SERVICE.encode() + b'/invoices'
PATCH_PATH = b'/operator/patches?against=0&id=x'
PEERS_PATH = b'/peers'
# Bodies of this size are allowed.
BODY_BYTES = 1_000_000
LARGE_BODY_BYTES = 4_000_000
PLACES = ('callers', 'router peers', 'sidecar peers')


def with_key(number, path, *fields, method=b'GET'):
    """Return a head with the key of an operator or of a caller."""
    key = b'Authorization: Bearer ' + build_key(number).text.encode()
    lines = (method + b' ' + path + b' HTTP/1.1', b'Host: h', key, *fields)
    return b'\r\n'.join((*lines, b'', b''))


def with_body(number, path, size, sent):
    """Return a request with a body, or with the first part of one."""
    length = b'Content-Length: %d' % size
    return with_key(number, path, length, method=b'POST') + b'x' * sent


class SidecarFleetCrowdTest(CrowdCase):
    """These processes have callers, operators and peers at one library."""

    def _play(self, place, crowds_by_name):
        async def scenario():
            async with running_fleet() as places:
                for name, crowd in crowds_by_name.items():
                    verdict = await play_at(places[place], crowd)
                    self.check(
                        name, verdict, memory_mb=MEMORY_MB, max_fds=MAX_FDS
                    )

        asyncio.run(scenario())

    def _play_heads(self, place, path):
        forms = head_forms(path)
        crowds = {name: head_crowd(form) for name, form in forms.items()}
        self._play(place, crowds)

    def _play_ahead(self, place, *requests):
        crowds = {
            f'{count} connections, {request[:30]}': ahead(count, request)
            for request in requests
            for count in COUNTS
        }
        self._play(place, crowds)

    def test_heads_of_callers(self):
        self._play_heads('callers', b'/healthz')

    def test_heads_at_the_address_of_a_router(self):
        self._play_heads('router peers', PEERS_PATH)

    def test_heads_at_the_address_of_a_sidecar(self):
        self._play_heads('sidecar peers', PEERS_PATH)

    def test_pages_ahead(self):
        self._play_ahead(
            'callers', head(b'/metrics', method=b'GET'), large_head(b'/healthz')
        )

    def test_requests_ahead(self):
        post = with_key(CALLER, SERVICE_PATH, NO_BODY, method=b'POST')
        self._play_ahead('callers', post)

    def test_bodies_ahead(self):
        post = with_body(CALLER, SERVICE_PATH, BODY_BYTES, BODY_BYTES)
        self._play_ahead('callers', post)

    def test_bodies_that_stop_just_short_of_their_end(self):
        sent = LARGE_BODY_BYTES - 1
        start = with_body(CALLER, SERVICE_PATH, LARGE_BODY_BYTES, sent)
        self._play('callers', {'bodies': Crowd(60, start)})

    def test_orders_of_operators_ahead(self):
        status = with_key(OPERATOR, b'/operator/status')
        patch = with_body(OPERATOR, PATCH_PATH, BODY_BYTES, BODY_BYTES)
        self._play_ahead('callers', status, patch)

    def test_patches_that_stop_just_short_of_their_end(self):
        sent = LARGE_BODY_BYTES - 1
        start = with_body(OPERATOR, PATCH_PATH, LARGE_BODY_BYTES, sent)
        self._play('callers', {'patches': Crowd(60, start)})

    def test_requests_ahead_at_the_address_of_a_router(self):
        get = head(PEERS_PATH, method=b'GET')
        self._play_ahead('router peers', get, large_head(PEERS_PATH))

    def test_requests_ahead_at_the_address_of_a_sidecar(self):
        get = head(b'/metrics', method=b'GET')
        self._play_ahead('sidecar peers', get, large_head(PEERS_PATH))

    def test_callers_that_do_nothing(self):
        for place in PLACES:
            self._play(place, {place: Crowd(500, b'')})
