"""Signals that come in series, beside requests and streams under way."""

import asyncio
import signal

from tests.soak.slowness import answer_slowly

GRACE_S = 8.0
# Signals of one stop, with the pauses between them in seconds.
SIGNALS_OF_A_STOP = (1, 5)
PAUSE_S = (0.0, 0.6)
FOLLOWING_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP)


async def stop_repeatedly(soak, source, *, planned='stop'):
    """Stop single routers by signals in series while requests are slow.

    Their settings file is missing or unreadable meanwhile, at times.
    """
    answer_slowly(soak.targets, source)
    while True:
        await asyncio.sleep(source.uniform(0.2, 1.5))
        router = source.choice(soak.routers)
        with soak.disrupted([router], planned):
            await _stop([router], source, folder=soak.fleet.folder)
            await _start([router])


async def stop_all_repeatedly(soak, source, *, planned='stop'):
    """Stop all routers and gateways at once by signals in series."""
    answer_slowly(soak.targets, source)
    while True:
        await asyncio.sleep(source.uniform(2, 4))
        chosen = list(soak.fleet.processes)
        with soak.disrupted(chosen, planned):
            await _stop(chosen, source, folder=soak.fleet.folder)
            await _start(chosen)


async def stop_at_start(soak, source, *, planned='stop'):
    """Stop single routers while they start, at any moment of it."""
    while True:
        await asyncio.sleep(source.uniform(0.2, 1))
        router = source.choice(soak.routers)
        with soak.disrupted([router], planned):
            await router.stop()
            await router.start()
            await asyncio.sleep(source.uniform(0, 1.5))
            await _stop([router], source, folder=soak.fleet.folder)
            await _start([router])


async def _stop(processes, source, *, folder):
    """Send a series of signals to each process, and wait for its end."""
    await asyncio.gather(
        *(_stop_one(process, source, folder) for process in processes)
    )


async def _stop_one(process, source, folder):
    settings = folder / f'{process.name}.toml'
    text = settings.read_text()
    if source.random() < 0.3:
        process.send(signal.SIGHUP)
    stopping = asyncio.ensure_future(process.stop(GRACE_S))
    try:
        await asyncio.sleep(0)
        for _ in range(source.randint(*SIGNALS_OF_A_STOP)):
            await asyncio.sleep(source.uniform(*PAUSE_S))
            _spoil(settings, text, source)
            if process.child.returncode is None:
                process.send(source.choice(FOLLOWING_SIGNALS))
        await stopping
    finally:
        stopping.cancel()
        settings.write_text(text)


def _spoil(path, text, source):
    """Take a settings file away, cut it, or leave it as it is."""
    match source.randrange(3):
        case 0:
            path.unlink(missing_ok=True)
        case 1:
            path.write_text(text[: len(text) // 2])
        case _:
            path.write_text(text)


async def _start(processes):
    for process in processes:
        await process.start()
    for process in processes:
        if process.role == 'router':
            await process.ready()
