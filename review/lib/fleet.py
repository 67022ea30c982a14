"""Runs the programs of the deploy file as processes, with one stand-in store.

The settings files come from the templates of the deploy file. Every address
is a loopback address with a free port.
"""

import asyncio
import fcntl
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from platform_store import Store

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LIMIT_S = 110
PORTS = (15_000, 31_000)
# The bounds of psb-dues.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'downgradeMs': 250,
    'maxStretchMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'budgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 52,
    'recoverS': 12,
    'passMs': 120,
    'retryAfterS': 8.4,
    'settle_ms': 1500,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2
given_ports = set()


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def __call__(self, text, **fields):
        passed = time.monotonic() - self._began
        rest = ' '.join(f'{name}={value}' for name, value in fields.items())
        line = f'{passed:8.3f} {text} {rest}'.rstrip()
        self._file.write(line + '\n')
        self._file.flush()


class Process:
    """One process of a role on one machine."""

    def __init__(self, fleet, role, name, number):
        self.role = role
        self.name = name
        self.zone = f'klang-{"abc"[number % 3]}'
        self.ports = {
            part: free_port()
            for part in ('front', 'ready', 'control', 'metrics')
        }
        self.child = None
        self._fleet = fleet

    @property
    def front(self):
        return '127.0.0.1', self.ports['front']

    def settings(self):
        ports = self.ports
        machine = self._fleet.roles[self.role]['on']
        return {
            'nodeName': self.name,
            'role': self.role,
            'machineClass': machine,
            'ip': '127.0.0.1',
            'zone': self.zone,
            'region': 'klang-west',
            'listen': {
                part: f'127.0.0.1:{ports[part]}'
                for part in ('front', 'ready', 'control')
            },
            'portRange': [ports['metrics'], ports['metrics']],
            'seeds': [
                f'127.0.0.1:{each.ports["control"]}'
                for each in self._fleet.processes
                if each.role == 'gateway'
            ][:3],
            'limits': {
                'cpuShare': 0.817,
                'vcpus': 1,
                'memoryMb': 150,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                **self._fleet.limits,
            },
            'bounds': BOUNDS,
            'platform': {'address': self._fleet.store.address},
        }

    async def start(self):
        role = self._fleet.roles[self.role]
        path = self._fleet.folder / f'{self.name}.toml'
        template = (ROOT / role['template']).read_text()
        path.write_text(render(template, self.settings()))
        log = open(self._fleet.folder / f'{self.name}.log', 'ab')
        self.child = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            start_new_session=True,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/tmp'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'DANDELIONCLEAT_SETTINGS': str(path),
            },
        )
        log.close()
        self._fleet.record('process starts', name=self.name, pid=self.child.pid)

    def send(self, number):
        self._fleet.record('signal', name=self.name, signal=number.name)
        self.child.send_signal(number)

    async def stop(self, grace_s=8):
        """Stop it as the platform does: SIGTERM, then SIGKILL after the grace."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.child.wait(), grace_s)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.child.wait()
        self._fleet.record(
            'process ended', name=self.name, code=self.child.returncode
        )

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.child.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports['ready']
            )
        except OSError:
            return False
        writer.write(
            b'GET /dandelioncleat/readiness HTTP/1.1\r\n'
            b'Host: n\r\nConnection: close\r\n\r\n'
        )
        try:
            line = await asyncio.wait_for(reader.readline(), 1)
        except (TimeoutError, OSError):
            line = b''
        writer.close()
        return b' 200 ' in line

    async def ready(self, limit_s=30):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CaseError(f'{self.name} did not become ready')
            await asyncio.sleep(0.05)
        self._fleet.record('process ready', name=self.name)


class Fleet:
    """The store, and the processes of the deploy file.

    ``limits`` replace those of the machines.
    """

    def __init__(self, record, *, routers=2, gateways=1, limits=None):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = deploy['roles']
        self.limits = limits or {}
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(record)
        self.processes = []
        self.gateways = [
            Process(self, 'gateway', f'side-{n}', n) for n in range(gateways)
        ]
        self.routers = [
            Process(self, 'router', f'front-{n}', n) for n in range(routers)
        ]
        self.processes = [*self.gateways, *self.routers]

    async def start(self):
        await self.store.start()
        for process in self.processes:
            await process.start()
        for router in self.routers:
            await router.ready()

    async def close(self):
        for process in self.processes:
            if process.child is None or process.child.returncode is not None:
                continue
            process.child.send_signal(signal.SIGCONT)
            process.child.kill()
            await process.child.wait()
        await self.store.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def render(template, fields):
    """Fill in the placeholders that the templates of the project use."""

    def value(match):
        name, _, form = match.group(1).partition('|')
        found = fields
        for part in name.split('.'):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form == 'json' else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', value, template)


def free_port():
    """Return a port below those that the kernel gives to outgoing channels.

    No other fleet on this machine gets it while this process lives.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in given_ports or not is_claimed(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        given_ports.add(port)
        return port


def is_claimed(port):
    """Claim a port among the fleets of this machine; return whether it is ours."""
    folder = Path(tempfile.gettempdir()) / 'dandelioncleat-ports'
    folder.mkdir(exist_ok=True)
    claim = os.open(folder / str(port), os.O_CREAT | os.O_RDWR)
    try:
        fcntl.flock(claim, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(claim)
        return False
    return True


def main(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(Path(folder) / 'record.txt')
    record('case begins', trouble=int(TROUBLE))

    async def run():
        # A case that is ended from outside ends its processes, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    try:
        is_broken, text = asyncio.run(run())
    except (CaseError, OSError, TimeoutError, asyncio.CancelledError) as error:
        record('the case could not run', error=repr(error))
        print(f'the case could not run: {error!r}')
        sys.exit(NOT_RUN)
    record('result: rule broken' if is_broken else 'result: rule held')
    record(text)
    print('rule broken:' if is_broken else 'rule held:', text)
    sys.exit(BROKEN if is_broken else HELD)
