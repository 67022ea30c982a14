"""A router is killed while it passes on an answer without a length."""

import asyncio
import signal
import sys
from pathlib import Path

import deployment as d

FOLDER = Path(__file__).resolve().parent
EVENTS = 20
EVENT_GAP_S = 0.1
KILL_AFTER_S = 0.75
STREAMS = 4


def event(number):
    return f'id: {number}\ndata: {"x" * 40}\n\n'.encode()


WHOLE = b''.join(event(number) for number in range(1, EVENTS + 1))


async def stream(server, request, writer):
    """Send a stream without a length, which ends with its channel."""
    server.note_run(request)
    lines = [
        'HTTP/1.1 200 OK',
        'Content-Type: text/event-stream',
        'Connection: close',
    ]
    lines += [f'{name}: {text}' for name, text in server.head(request).items()]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
    for number in range(1, EVENTS + 1):
        writer.write(event(number))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    server.fleet.record(f'server {server.name}: all events sent')
    return False


async def play(fleet, is_troubled):
    await d.Server(fleet, 'llm-1', 'llm', '127.0.3.1', answer=stream).start()
    await fleet.configure(**d.document(
        [d.route('draft', 'llm', 'streaming', timeout_ms=8000)],
        [d.model_service('llm')],
    ))
    await fleet.start_store()
    gateway = (await fleet.machine('gateway', 1)).start()
    router = (await fleet.machine('router', 1, gateways=[gateway])).start()
    await router.until_ready()
    asks = [
        asyncio.create_task(fleet.client.ask(
            router.address, '/draft/1', body=b'{}', wait_ms=8000,
            headers=d.prompt_headers(100, 200),
        ))
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    if is_troubled:
        router.signal(signal.SIGKILL)
    answers = await asyncio.gather(*asks)
    broken = 0
    for answer in answers:
        if answer.status != 200 or 'server-stamp' not in answer.headers:
            fleet.record('no success')
            continue
        framing = answer.headers.get('transfer-encoding', 'none')
        fleet.record(
            f'success with receipt, {len(answer.body)} of {len(WHOLE)} bytes, '
            f'framing {framing}, looks whole: {answer.is_whole}'
        )
        broken += answer.is_whole and answer.body != WHOLE
    if not is_troubled and any(each.body != WHOLE for each in answers):
        raise d.CannotRunError('an answer is not whole without a disruption')
    return broken > 0


sys.exit(d.run_case(FOLDER, play))
