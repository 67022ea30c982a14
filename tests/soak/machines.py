"""Small machines: limits set from outside, shares of the processor, power."""

import asyncio
import resource
import signal

# A process may run for so much of each period, both in seconds.
PERIOD_S = 0.1
RUNS_S = 0.06


def limit_each_start(process, plan):
    """Set the limits of a plan on a process at each of its starts."""
    limits = plan.limits or {}
    start = process.start

    async def start_limited():
        await start()
        if 'maxFds' in limits:
            _limit(process, resource.RLIMIT_NOFILE, limits['maxFds'])
        if plan.memory_mb is not None:
            _limit(process, resource.RLIMIT_DATA, plan.memory_mb * 2**20)

    process.start = start_limited


def _limit(process, kind, most):
    resource.prlimit(process.child.pid, kind, (most, most))


async def share_processor(soak, _):
    """Let all routers run for a part of each period only."""
    try:
        while True:
            _send(soak.routers, signal.SIGSTOP)
            await asyncio.sleep(PERIOD_S - RUNS_S)
            _send(soak.routers, signal.SIGCONT)
            await asyncio.sleep(RUNS_S)
    finally:
        _send(soak.routers, signal.SIGCONT)


def _send(processes, number):
    for process in processes:
        if process.child.returncode is None:
            process.child.send_signal(number)


async def kill_all(soak, source):
    """Kill all processes at once, and start them again."""
    while True:
        await asyncio.sleep(source.uniform(3, 7))
        with soak.disrupted(soak.routers, 'kill'):
            for process in soak.fleet.processes:
                process.send(signal.SIGKILL)
            for process in soak.fleet.processes:
                await process.child.wait()
            for process in soak.fleet.processes:
                await process.start()
            for router in soak.routers:
                await router.ready()


async def stop_gateways(soak, source):
    """Stop one gateway after the other, or kill it, and start it again."""
    while True:
        for gateway in soak.fleet.gateways:
            await asyncio.sleep(source.uniform(0.2, 2))
            if source.random() < 0.5:
                await gateway.stop()
            else:
                await gateway.kill()
            await gateway.start()
