"""Crowds before a router and a sidecar of a fleet with sidecars."""

import asyncio
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import aiohttp
import tomli_w
from fleet import free_port

from tests.builders.configuration import build_entry, build_key
from tests.soak.crowds import Place, repeated, serves_peers

SECRET = 's' * 32
OPERATOR, CALLER = 1, 2
SERVICE = 'billing-app'
HOST = '127.0.0.1'
START_LIMIT_S = 30
DOCUMENT = {
    'services': {
        SERVICE: {'kind': 'plain', 'price_tokens': 1, 'deadline_ms': 8000}
    },
    'targets': {'billing-1': {'service': SERVICE, 'data_centre': 'klang-a'}},
    'organisations': {
        'agent-1': {'budget': 10**9, 'credentials': [build_entry(CALLER)]}
    },
    'operators': {'siti': build_entry(OPERATOR)},
}


class Ports(NamedTuple):
    """Where the processes listen."""

    platform: int
    target: int
    callers: int
    router_peers: int
    sidecar_peers: int


class SidecarFleet:
    """The stand-ins, one router and one sidecar, as processes."""

    def __init__(self, folder):
        """Initialise; nothing runs yet."""
        self.ports = Ports(*(free_port() for _ in Ports._fields))
        self._folder = Path(folder)
        self._children = []

    async def start(self):
        """Start all processes; return the addresses, by name."""
        await self._start('standin', 'platform', '--port', self.ports.platform)
        await self._start('standin', 'service', '--port', self.ports.target)
        await self._until(self._add_hosts)
        router = await self._start_daemon('router')
        sidecar = await self._start_daemon('sidecar')
        await self._until(self._submit)
        if not await repeated(self._is_served):
            raise RuntimeError('the fleet serves no request')
        callers = (HOST, self.ports.callers)
        router_peers = (HOST, self.ports.router_peers)
        sidecar_peers = (HOST, self.ports.sidecar_peers)
        return {
            'callers': Place(router, callers, self._serves_callers),
            'router peers': Place(
                router, router_peers, lambda: serves_peers(router_peers, SECRET)
            ),
            'sidecar peers': Place(
                sidecar,
                sidecar_peers,
                lambda: serves_peers(sidecar_peers, SECRET),
            ),
        }

    async def close(self):
        """End all processes."""
        for child in self._children:
            if child.returncode is None:
                child.kill()
            await child.wait()

    async def _start_daemon(self, role):
        path = self._folder / f'{role}.toml'
        path.write_text(tomli_w.dumps(self._settings(role)))
        return await self._start(role, '--settings', path)

    async def _start(self, *words):
        log = self._log(words[0])
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'dandelioncleat',
            *map(str, words),
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        self._children.append(child)
        return child

    def _log(self, name):
        return open(self._folder / f'{name}.log', 'ab')

    def _settings(self, role):
        platform = f'http://{HOST}:{self.ports.platform}'
        common = {
            'role': role,
            'data_centre': 'klang-a',
            'platform': {'log_url': platform, 'host_list_url': platform},
            'fleet': {'secret': SECRET},
        }
        if role == 'router':
            return {
                **common,
                'host': 'entry-1',
                'listen': {
                    'callers': f'{HOST}:{self.ports.callers}',
                    'peers': f'{HOST}:{self.ports.router_peers}',
                },
                'operator': build_entry(OPERATOR),
            }
        return {
            **common,
            'host': 'gpu-1',
            'listen': {'peers': f'{HOST}:{self.ports.sidecar_peers}'},
            'target': {
                'name': 'billing-1',
                'service': SERVICE,
                'kind': 'plain',
                'url': f'http://{HOST}:{self.ports.target}',
            },
        }

    async def _until(self, act):
        async with asyncio.timeout(START_LIMIT_S):
            while not await _succeeds(act):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def _add_hosts(self):
        for host in ('entry-1', 'gpu-1'):
            await self._send(
                self.ports.platform,
                'PUT',
                f'/hosts/{host}',
                json={'data_centre': 'klang-a'},
            )

    async def _submit(self):
        await self._send(
            self.ports.callers,
            'POST',
            '/operator/patches?against=0&id=first',
            key=OPERATOR,
            json=DOCUMENT,
        )

    async def _is_served(self):
        path = f'/services/{SERVICE}/invoices'
        await self._send(self.ports.callers, 'POST', path, key=CALLER)
        return True

    async def _serves_callers(self):
        return await repeated(self._is_served)

    async def _send(self, port, method, path, *, key=None, **options):
        headers = {}
        if key is not None:
            headers['Authorization'] = f'Bearer {build_key(key).text}'
        async with (
            aiohttp.ClientSession(raise_for_status=True) as session,
            session.request(
                method,
                f'http://{HOST}:{port}{path}',
                headers=headers,
                **options,
            ) as response,
        ):
            await response.read()


async def _succeeds(act):
    try:
        await act()
    except (OSError, aiohttp.ClientError):
        return False
    return True


@asynccontextmanager
async def running_fleet():
    """Run the processes; yield their addresses, by name."""
    with tempfile.TemporaryDirectory(prefix='sidecar-crowd-') as folder:
        fleet = SidecarFleet(folder)
        try:
            yield await fleet.start()
        finally:
            await fleet.close()
