"""A stand-in of a consumer: one request on a new channel."""

import asyncio
import itertools
import time

HOST = 'dues.example'
numbers = itertools.count(1)


class Reply:
    """What a consumer got for one request."""

    def __init__(self, name):
        self.id = name
        self.sent_at = time.monotonic()
        self.status = None
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = None

    @property
    def is_success(self):
        return (
            self.status is not None
            and 200 <= self.status < 300
            and self.is_complete
            and 'server-stamp' in self.headers
        )

    @property
    def events(self):
        return self.body.count(b'\n\n')


async def send(
    record,
    address,
    path,
    key,
    *,
    method='POST',
    body=b'{}',
    limit_s=8.0,
    headers=None,
    name=None,
):
    """Send a request and read its answer to the end."""
    reply = Reply(name or f'{next(numbers):08x}')
    sent = {
        'Host': HOST,
        'Request-Id': reply.id,
        'Authorization': f'Bearer {key}',
        'Deadline-Ms': str(int(limit_s * 1000)),
        'Connection': 'close',
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            reply.sent_at = time.monotonic()
            lines = [f'{method} {path} HTTP/1.1']
            lines += [f'{field}: {text}' for field, text in sent.items()]
            writer.write('\r\n'.join((*lines, '', '')).encode() + body)
            await read_answer(reader, reply)
    except (
        OSError,
        asyncio.IncompleteReadError,
        TimeoutError,
        ValueError,
    ) as error:
        reply.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    record(
        'answered',
        request=reply.id,
        to=address[1],
        path=path,
        status=reply.status,
        complete=reply.is_complete,
        events=reply.events,
        reason=reply.headers.get('dandelioncleat-refusal'),
        error=reply.error,
    )
    return reply


async def read_answer(reader, reply):
    line = (await reader.readline()).split()
    if len(line) < 2:
        raise ConnectionResetError('the channel was closed')
    reply.status = int(line[1])
    while (line := await reader.readline()) not in (b'\r\n', b''):
        field, _, text = line.decode('latin-1').partition(':')
        reply.headers[field.lower()] = text.strip()
    if 'content-length' in reply.headers:
        reply.body = await reader.readexactly(
            int(reply.headers['content-length'])
        )
        reply.is_complete = True
    elif 'chunked' in reply.headers.get('transfer-encoding', ''):
        while size := int(await reader.readline(), 16):
            reply.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        reply.is_complete = True
    else:
        reply.body = await reader.read()
        reply.is_complete = True


def configuration(version, *, services, routes, tenants):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'services': services,
        'routes': routes,
        'tenants': tenants,
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerMs': 3000,
            'idleMs': 15000,
        },
    }


def route(prefix, kind, service, **more):
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'pathPrefix': prefix,
        'type': kind,
        'service': service,
        'timeoutMs': 8000,
        'sloMs': 600,
        'priority': 1,
        'maxAttempts': 2,
        'public': False,
        'resumable': False,
        **more,
    }


MODEL_SERVICE = {
    'name': 'dues-llm',
    'healthPath': '/health',
    'maxConnections': 360,
    'engine': {'slots': 64, 'kvCapacity': 401764, 'stride': 5},
}
APP_SERVICE = {
    'name': 'billing-app',
    'healthPath': '/health',
    'maxConnections': 96,
}
