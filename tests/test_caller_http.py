"""Tests of the callers' HTTP interface."""

import asyncio
import json

from aiohttp import ClientPayloadError
from testtools import TestCase

from dandelioncleat.adapters._caller_body import (
    MAX_BODY_BYTES,
    BodyMemory,
    total_body_bytes,
)
from dandelioncleat.core.failure import Code
from dandelioncleat.core.request import RequestOutcome
from tests.builders.caller_http import (
    CHAT,
    KEY,
    OTHER_KEY,
    answered,
    failed,
    piece,
    serve_script,
)

CHAT_PATH = '/v1/chat/completions'
STREAMED = {**CHAT, 'stream': True}


def events_of(body: bytes) -> list[bytes]:
    return [
        event.removeprefix(b'data: ') for event in body.split(b'\n\n') if event
    ]


class AnswerTest(TestCase):
    def test_chat_without_stream_answers_with_one_document(self) -> None:
        async def scenario() -> None:
            script = piece('Ten '), piece('ringgit.'), answered()
            async with serve_script(*script) as client:
                status, headers, body = await client.post(
                    CHAT_PATH, CHAT, Idempotency_Key='k7'
                )
                document = json.loads(body)
                message = document['choices'][0]['message']
                self.assertEqual(200, status)
                self.assertEqual('Ten ringgit.', message['content'])
                self.assertEqual(6, document['usage']['total_tokens'])
                self.assertEqual('answered', headers['X-Outcome'])
                self.assertEqual('k7', headers['X-Request-Key'])
                self.assertEqual('t1', headers['X-Target'])
                self.assertEqual('6', headers['X-Billed-Tokens'])
                self.assertEqual('3', headers['X-Configuration-Version'])
                asked = client.server.requests[0]
                self.assertFalse(asked.has_generated_key)
                # A token is at least a byte; the template is added.
                self.assertGreaterEqual(asked.prompt_bound, 5 + 16)
                self.assertEqual(256, asked.cap)

        asyncio.run(scenario())

    def test_streamed_chat_ends_with_its_summary(self) -> None:
        async def scenario() -> None:
            euro = '€'.encode()
            script = (
                piece('Ten ')._replace(data=b'Ten ' + euro[:1]),
                piece('')._replace(data=euro[1:]),
                answered(),
            )
            async with serve_script(*script) as client:
                _, headers, body = await client.post(CHAT_PATH, STREAMED)
                *events, last, done = events_of(body)
                text = ''.join(
                    json.loads(event)['choices'][0]['delta']['content']
                    for event in events
                )
                self.assertEqual('Ten €', text)
                summary = json.loads(last)['dandelioncleat']
                self.assertEqual('answered', summary['outcome'])
                self.assertEqual(
                    headers['X-Request-Key'], summary['request_key']
                )
                self.assertEqual(b'[DONE]', done)
                self.assertTrue(client.server.requests[0].has_generated_key)

        asyncio.run(scenario())

    def test_interrupted_stream_never_looks_complete(self) -> None:
        async def scenario() -> None:
            end = failed(Code.UNREACHABLE, RequestOutcome.UNKNOWN)
            async with serve_script(piece('Ten '), end) as client:
                _, _, body = await client.post(CHAT_PATH, STREAMED)
                last = json.loads(events_of(body)[-1])
                self.assertEqual('unknown', last['error']['outcome'])
                self.assertNotIn(b'[DONE]', body)
                self.assertNotIn(b'"finish_reason":"stop"', body)
                status, _, whole = await client.post(CHAT_PATH, CHAT)
                self.assertEqual(504, status)
                self.assertNotIn(b'Ten', whole)

        asyncio.run(scenario())

    def test_plain_call_passes_method_path_and_answer(self) -> None:
        async def scenario() -> None:
            script = piece('posted'), answered(status=201)
            async with serve_script(*script) as client:
                status, headers, body = await client.post(
                    '/services/billing-app/invoices/7%2F8?draft=1', b'{}'
                )
                self.assertEqual((201, b'posted'), (status, body))
                self.assertEqual('text/plain', headers['Content-Type'])
                asked = client.server.requests[0]
                self.assertEqual('/invoices/7%2F8?draft=1', asked.path)
                self.assertFalse(asked.idempotent)
                self.assertEqual((5, 0), (asked.prompt_bound, asked.cap))
                url = f'{client.url}/services/billing-app/invoices'
                bearer = {'Authorization': f'Bearer {KEY.text}'}
                async with client.session.get(url, headers=bearer):
                    self.assertTrue(client.server.requests[1].idempotent)

        asyncio.run(scenario())

    def test_same_key_is_scoped_by_service_and_idempotence(self) -> None:
        async def scenario() -> None:
            async with serve_script(answered()) as client:
                await client.post(CHAT_PATH, CHAT, Idempotency_Key='k')
                for method in ('GET', 'POST'):
                    async with client.session.request(
                        method,
                        f'{client.url}/services/billing-app/x',
                        headers={
                            'Authorization': f'Bearer {KEY.text}',
                            'Idempotency-Key': 'k',
                        },
                    ):
                        continue
                keys = {asked.request for asked in client.server.requests}
                self.assertEqual(3, len(keys))

        asyncio.run(scenario())

    def test_models_budget_health_and_metrics(self) -> None:
        async def scenario() -> None:
            async with serve_script() as client:
                bearer = {'Authorization': f'Bearer {KEY.text}'}
                expected = {
                    '/v1/models': b'"dues"',
                    '/v1/budget': b'"free_tokens":70',
                    '/healthz': b'alive',
                    '/readyz': b'ready',
                    '/metrics': b'requests 1',
                }
                for path, part in expected.items():
                    async with client.session.get(
                        client.url + path, headers=bearer
                    ) as response:
                        self.assertIn(part, await response.read())
                client.server.obstacle = 'the router is stopping'
                async with client.session.get(
                    f'{client.url}/readyz'
                ) as response:
                    self.assertEqual(503, response.status)
                    self.assertIn('stopping', await response.text())

        asyncio.run(scenario())


class RefusalTest(TestCase):
    def test_every_code_has_its_status(self) -> None:
        expected = {
            (Code.BUDGET, RequestOutcome.NOT_RUN): 402,
            (Code.CAPACITY, RequestOutcome.NOT_RUN): 429,
            (Code.CONFLICT, RequestOutcome.NOT_RUN): 409,
            (Code.POISON, RequestOutcome.NOT_RUN): 422,
            (Code.NOT_READY, RequestOutcome.NOT_RUN): 503,
            (Code.NOT_READY, RequestOutcome.UNKNOWN): 503,
            (Code.LOG, RequestOutcome.NOT_RUN): 503,
            (Code.BUDGET, RequestOutcome.UNKNOWN): 504,
            (Code.TARGET, RequestOutcome.UNKNOWN): 504,
        }

        async def scenario() -> None:
            async with serve_script() as client:
                for (code, outcome), expected_status in expected.items():
                    client.server.script = [
                        failed(code, outcome, retry_after_s=2.5)
                    ]
                    status, headers, body = await client.post(CHAT_PATH, CHAT)
                    error = json.loads(body)['error']
                    self.assertEqual(expected_status, status)
                    self.assertEqual(code, error['code'])
                    self.assertEqual('step', error['step'])
                    self.assertEqual('peer', error['peer'])
                    self.assertEqual(outcome, headers['X-Outcome'])
                    if status == 429:
                        self.assertEqual('3', headers['Retry-After'])

        asyncio.run(scenario())

    def test_invalid_credentials_are_rejected(self) -> None:
        async def scenario() -> None:
            async with serve_script(answered()) as client:
                cases = {
                    'Bearer wrong': 401,
                    'Bearer ': 401,
                    f'Basic {KEY.text}': 401,
                    f'Bearer {KEY.text}x': 401,
                    f'Bearer {OTHER_KEY.text}': 404,
                    f'Bearer {KEY.text}': 200,
                }
                for text, expected_status in cases.items():
                    status, _, _ = await client.post(
                        CHAT_PATH, CHAT, Authorization=text
                    )
                    self.assertEqual(expected_status, status, text)
                status, _, _ = await client.post(
                    CHAT_PATH, CHAT, X_Budget='shop/travel'
                )
                self.assertEqual(403, status)

        asyncio.run(scenario())

    def test_invalid_bodies_and_headers_are_rejected(self) -> None:
        bad_bodies = (
            b'{"model": ',
            b'\xff\xfe',
            b'[]',
            {**CHAT, 'n': 2},
            {**CHAT, 'max_tokens': 0},
            {**CHAT, 'max_tokens': -5},
            {**CHAT, 'messages': []},
            {
                **CHAT,
                'messages': [
                    {'role': 'user', 'content': [{'type': 'image_url'}]}
                ],
            },
        )
        bad_headers = (
            {'X_Priority': '10'},
            {'X_Priority': 'high'},
            {'X_Deadline_Ms': '0'},
            {'Idempotency_Key': 'k' * 129},
        )

        async def scenario() -> None:
            async with serve_script(answered()) as client:
                for body in bad_bodies:
                    status, _, text = await client.post(CHAT_PATH, body)
                    self.assertEqual(
                        (400, 'invalid'), _status_and_code(status, text)
                    )
                for headers in bad_headers:
                    status, _, text = await client.post(
                        CHAT_PATH, CHAT, **headers
                    )
                    self.assertEqual(
                        (400, 'invalid'), _status_and_code(status, text)
                    )
                status, _, text = await client.post(
                    CHAT_PATH, {**CHAT, 'model': 'x'}
                )
                self.assertEqual(
                    (404, 'not_found'), _status_and_code(status, text)
                )
                status, _, text = await client.post('/services/no/x', b'')
                self.assertEqual(
                    (404, 'not_found'), _status_and_code(status, text)
                )
                self.assertEqual([], client.server.requests)

        asyncio.run(scenario())

    def test_large_slow_and_too_many_bodies_are_rejected(self) -> None:
        async def scenario() -> None:
            memory = BodyMemory(
                max_body_bytes=1000, max_total_bytes=1500, timeout_s=0.2
            )
            async with serve_script(answered(), memory=memory) as client:
                status, _, text = await client.post(CHAT_PATH, b'x' * 1001)
                self.assertEqual(
                    (413, 'too_large'), _status_and_code(status, text)
                )

                async def endless():
                    yield b'x' * 2000

                bearer = {'Authorization': f'Bearer {KEY.text}'}
                async with client.session.post(
                    client.url + CHAT_PATH, data=endless(), headers=bearer
                ) as response:
                    self.assertEqual(413, response.status)

                async def slow():
                    yield b'{'
                    await asyncio.sleep(5)

                async with client.session.post(
                    client.url + CHAT_PATH, data=slow(), headers=bearer
                ) as response:
                    self.assertEqual(400, response.status)
                memory.used_bytes = 600
                status, headers, text = await client.post(
                    CHAT_PATH, b' ' * 950 + b'{}'
                )
                self.assertEqual(
                    (429, 'capacity'), _status_and_code(status, text)
                )
                self.assertIn('Retry-After', headers)

        asyncio.run(scenario())

    def test_client_error_of_the_target_is_forwarded(self) -> None:
        async def scenario() -> None:
            error = piece('{"error": {}}')._replace(tokens=0)
            async with serve_script(error, answered(status=400)) as client:
                for body in (CHAT, STREAMED):
                    status, _, text = await client.post(CHAT_PATH, body)
                    self.assertEqual((400, b'{"error": {}}'), (status, text))
                client.server.script = [error, answered(status=500)]
                for body in (CHAT, STREAMED):
                    status, _, text = await client.post(CHAT_PATH, body)
                    self.assertEqual(
                        (502, 'target'), _status_and_code(status, text)
                    )

        asyncio.run(scenario())


class BodyMemoryTest(TestCase):
    def test_largest_body_fits_into_the_smallest_process(self) -> None:
        for memory_mb in (1, 64, 128):
            self.assertGreaterEqual(total_body_bytes(memory_mb), MAX_BODY_BYTES)


class CallerTest(TestCase):
    def test_caller_that_leaves_ends_the_request(self) -> None:
        async def scenario() -> None:
            for body in (CHAT, STREAMED):
                async with serve_script(piece('Ten ')) as client:
                    client.server.stays_open = True
                    post = asyncio.create_task(client.post(CHAT_PATH, body))
                    await client.server.asked.wait()
                    post.cancel()
                    await asyncio.gather(post, return_exceptions=True)
                    async with asyncio.timeout(10):
                        await client.server.closed.wait()

        asyncio.run(scenario())

    def test_caller_that_does_not_read_is_dropped(self) -> None:
        async def scenario() -> None:
            script = [piece('x' * 100_000)] * 200
            async with serve_script(
                *script, answered(), write_timeout_s=0.2
            ) as client:
                response = await client.session.post(
                    client.url + CHAT_PATH,
                    json=STREAMED,
                    headers={'Authorization': f'Bearer {KEY.text}'},
                )
                async with asyncio.timeout(10):
                    await client.server.closed.wait()
                try:
                    body = await response.read()
                except (ClientPayloadError, OSError):
                    body = b''
                self.assertNotIn(b'[DONE]', body)

        asyncio.run(scenario())


def _status_and_code(status: int, text: bytes) -> tuple[int, str]:
    return status, json.loads(text)['error']['code']
