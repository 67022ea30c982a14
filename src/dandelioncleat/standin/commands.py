"""The commands that run a single stand-in as a process."""

import argparse
import asyncio
import signal
import sys
import time
from typing import Any

from dandelioncleat.standin.engine import Engine, EngineSettings
from dandelioncleat.standin.engine_http import new_engine_application
from dandelioncleat.standin.host_list import MemoryHostList
from dandelioncleat.standin.log import MemoryLog, Retention
from dandelioncleat.standin.platform_http import (
    Platform,
    new_platform_application,
)
from dandelioncleat.standin.server import (
    LOOPBACK,
    StandinServer,
    start_server,
)
from dandelioncleat.standin.service import PlainService, ServiceSettings
from dandelioncleat.standin.service_http import new_service_application
from dandelioncleat.standin.weight_store import WeightStore

WEIGHT_RATE_BYTES_S = 500_000_000
WEIGHT_BYTES_BY_NAME = {'small': 1_000_000_000, 'large': 15_000_000_000}
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def add_parser(subparsers: Any) -> None:
    """Add the command ``standin`` to a command line."""
    parser = subparsers.add_parser(
        'standin', help='run a simulator of the platform or of a target'
    )
    kinds = parser.add_subparsers(required=True, metavar='KIND')
    _add_platform(kinds)
    _add_engine(kinds)
    _add_service(kinds)


def _add_platform(kinds: Any) -> None:
    parser = _new_kind_parser(
        kinds, 'platform', 'the log, host list and weight store'
    )
    parser.add_argument('--retention-entries', type=int, default=0)
    parser.add_argument('--retention-age-s', type=float, default=0)
    parser.set_defaults(start=_start_platform)


def _add_engine(kinds: Any) -> None:
    parser = _new_kind_parser(kinds, 'engine', 'a model engine')
    defaults = EngineSettings()
    parser.add_argument('--slots', type=int, default=defaults.slots)
    parser.add_argument(
        '--prefill-tokens-s', type=float, default=defaults.prefill_tokens_s
    )
    parser.add_argument(
        '--decode-tokens-s', type=float, default=defaults.decode_tokens_s
    )
    parser.add_argument('--kv-tokens', type=int, default=defaults.kv_tokens)
    parser.add_argument('--checks-fencing', action='store_true')
    parser.add_argument('--load-lag-s', type=float, default=0)
    parser.set_defaults(start=_start_engine)


def _add_service(kinds: Any) -> None:
    parser = _new_kind_parser(kinds, 'service', 'a plain service')
    defaults = ServiceSettings()
    parser.add_argument('--slots', type=int, default=defaults.slots)
    parser.add_argument('--service-ms', type=float, default=defaults.service_ms)
    parser.add_argument('--checks-fencing', action='store_true')
    parser.set_defaults(start=_start_service)


def _new_kind_parser(
    kinds: Any,
    name: str,
    help_text: str,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = kinds.add_parser(name, help=help_text)
    parser.add_argument('--host', default=LOOPBACK)
    parser.add_argument(
        '--port', type=int, default=0, help='0 picks a free port'
    )
    parser.set_defaults(run=run_standin)
    return parser


def run_standin(arguments: argparse.Namespace) -> int:
    """Run a stand-in until SIGINT or SIGTERM."""
    asyncio.run(_serve(arguments))
    return 0


async def _serve(arguments: argparse.Namespace) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    server: StandinServer = await arguments.start(arguments)
    sys.stdout.write(f'{server.url}\n')
    sys.stdout.flush()
    await stop_requested.wait()
    await server.stop()


async def _start_platform(arguments: argparse.Namespace) -> StandinServer:
    retention = Retention(
        arguments.retention_entries, arguments.retention_age_s
    )
    platform = Platform(
        MemoryLog(retention=retention, now=time.time),
        MemoryHostList(),
        WeightStore(
            bytes_s=WEIGHT_RATE_BYTES_S, sizes_by_name=WEIGHT_BYTES_BY_NAME
        ),
    )
    return await start_server(
        new_platform_application(platform),
        host=arguments.host,
        port=arguments.port,
    )


async def _start_engine(arguments: argparse.Namespace) -> StandinServer:
    engine = Engine(
        EngineSettings(
            slots=arguments.slots,
            prefill_tokens_s=arguments.prefill_tokens_s,
            decode_tokens_s=arguments.decode_tokens_s,
            kv_tokens=arguments.kv_tokens,
            checks_fencing=arguments.checks_fencing,
        )
    )
    engine.load_reports.lag_s = arguments.load_lag_s
    return await start_server(
        new_engine_application(engine),
        host=arguments.host,
        port=arguments.port,
        crashable=engine,
    )


async def _start_service(arguments: argparse.Namespace) -> StandinServer:
    service = PlainService(
        ServiceSettings(
            slots=arguments.slots,
            service_ms=arguments.service_ms,
            checks_fencing=arguments.checks_fencing,
        )
    )
    return await start_server(
        new_service_application(service),
        host=arguments.host,
        port=arguments.port,
        crashable=service,
    )
