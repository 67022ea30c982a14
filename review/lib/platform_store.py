"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import struct

from aiohttp import web

LENGTH = struct.Struct('>I')
PAGE_HEAD = struct.Struct('>QQ')
APPEND_S = 0.002
PAGE_ITEMS = 500
REMEMBERED = 5
READ_ONLY = ('keyed.op', 'keyed.servers')


class Topic:
    """The records of one partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, records):
        for key, value in records:
            offset = len(self.records)
            self.records.append((key, value))
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Answer(Exception):
    """Ends a call with a status and a document."""

    def __init__(self, status, **document):
        super().__init__(status)
        self.status = status
        self.document = document


class Store:
    """Answers the calls of the system, the operator and the servers.

    ``fault`` is called with the topic and the keys of each append. It returns
    ``None``, or how many seconds later an append is executed that gets no
    answer.
    """

    def __init__(self, record):
        self.topics = {}
        self.fault = lambda topic, keys: None
        self.calls = 0
        self.appends = 0
        self.unanswered = 0
        self.on_late = lambda topic, keys, status: None
        self._record = record
        self._late = set()
        self._runner = None
        self.address = ''

    async def start(self):
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post('/dandelioncleat/log-append', self._append)
        app.router.add_get('/dandelioncleat/log-read', self._read)
        app.router.add_get('/dandelioncleat/log-newest', self._newest)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def close(self):
        for task in self._late:
            task.cancel()
        await self._runner.cleanup()

    def put(self, topic, key, document):
        """Write a record as the operator or a server does; ``None`` deletes it."""
        value = document
        if not isinstance(document, bytes):
            value = b'' if document is None else json.dumps(document).encode()
        self.topic(f'keyed.{topic}').add([(key.encode(), value)])

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def _append(self, request):
        self.calls += 1
        self.appends += 1
        query = request.query
        name = query['topic']
        records = split(await request.read())
        if name in READ_ONLY:
            return answer(403, {})
        keys = [key.decode() for key, _ in records]
        delay_s = self.fault(name, keys)
        if delay_s is None:
            try:
                return answer(200, await self._execute(name, query, records))
            except Answer as refused:
                return answer(refused.status, refused.document)
        self.unanswered += 1
        self._record(
            'store: an append gets no answer',
            topic=name,
            keys=keys,
            at=query.get('at'),
            executed_in_s=delay_s,
        )
        task = asyncio.create_task(
            self._execute_late(name, query, records, delay_s)
        )
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        await asyncio.sleep(60)
        return answer(503, {})

    async def _execute_late(self, name, query, records, delay_s):
        await asyncio.sleep(delay_s)
        status = 200
        try:
            await self._execute(name, query, records)
        except Answer as refused:
            status = refused.status
        keys = [key.decode() for key, _ in records]
        self._record(
            'store: a late append is executed',
            topic=name,
            keys=keys,
            at=query.get('at'),
            status=status,
        )
        self.on_late(name, keys, status)

    async def _execute(self, name, query, records):
        topic = self.topic(name)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            end = len(topic.records)
            if 'at' in query and int(query['at']) != end:
                raise Answer(412, end=end)
            first = end
            if 'producer' in query:
                known = check_producer(topic, query)
                if known is not None:
                    return known
            topic.add(records)
            done = {'offset': first, 'end': len(topic.records)}
            if 'producer' in query:
                remember(topic, query, done)
            return done

    async def _read(self, request):
        self.calls += 1
        query = request.query
        topic = self.topic(query['topic'])
        start = int(query['from'])
        if start >= len(topic.records):
            wait_s = int(query.get('waitMs', 0)) / 1000
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except TimeoutError:
                pass
        await asyncio.sleep(APPEND_S)
        body = PAGE_HEAD.pack(len(topic.records), 0)
        return web.Response(
            body=body
            + b''.join(
                frame(key, value) for key, value in topic.records[start:]
            )
        )

    async def _newest(self, request):
        self.calls += 1
        await asyncio.sleep(APPEND_S)
        topic = self.topic(request.query['topic'])
        after = request.query.get('after', '').encode()
        rest = sorted(item for item in topic.newest.items() if item[0] > after)
        items = [
            {
                'key': key.decode('utf-8', 'replace'),
                'offset': offset,
                'value': base64.b64encode(value).decode(),
            }
            for key, (value, offset) in rest[:PAGE_ITEMS]
        ]
        return answer(
            200,
            {
                'items': items,
                'hasMore': len(rest) > PAGE_ITEMS,
                'end': len(topic.records),
            },
        )


def check_producer(topic, query):
    """Return the answer to a repeated append, ``None`` for a new one."""
    known = topic.producers.get(query['producer'])
    epoch, sequence = int(query['epoch']), int(query['sequence'])
    if known is None or epoch > known['epoch']:
        return None
    if epoch < known['epoch']:
        raise Answer(409, reason='fenced')
    for number, done in known['recent']:
        if number == sequence:
            return done
    if sequence != known['sequence'] + 1:
        raise Answer(409, reason='seq', sequence=known['sequence'] + 1)
    return None


def remember(topic, query, done):
    epoch, sequence = int(query['epoch']), int(query['sequence'])
    known = topic.producers.get(query['producer'])
    recent = known['recent'] if known and known['epoch'] == epoch else []
    recent = [*recent, (sequence, done)][-REMEMBERED:]
    topic.producers[query['producer']] = {
        'epoch': epoch,
        'sequence': sequence,
        'recent': recent,
    }


def frame(key, value):
    content = bytes((len(key),)) + key + value
    return LENGTH.pack(len(content)) + content


def split(body):
    records, at = [], 0
    while at < len(body):
        size = LENGTH.unpack_from(body, at)[0]
        content = body[at + 4 : at + 4 + size]
        records.append((content[1 : 1 + content[0]], content[1 + content[0] :]))
        at += 4 + size
    return records


def answer(status, document):
    return web.json_response(document, status=status)
