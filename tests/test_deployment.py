"""Integration tests of routers and sidecars on real sockets."""

import asyncio
import json

from testtools import TestCase

from tests.builders.deployment import Deployment

CHAT_PATH = '/v1/chat/completions'
POST_PATH = '/services/billing-app/invoices'
CHAT = {
    'model': 'dues',
    'messages': [{'role': 'user', 'content': 'What dues are open?'}],
    'max_tokens': 40,
}
STREAMED = {**CHAT, 'stream': True}


class DeploymentTest(TestCase):
    def test_answers_are_complete_and_billed_once(self) -> None:
        async def scenario() -> None:
            async with Deployment() as deployment:
                status, headers, body = await deployment.post(
                    0, CHAT_PATH, CHAT, Idempotency_Key='k1'
                )
                self.assertEqual(200, status)
                self.assertEqual('answered', headers['X-Outcome'])
                text = json.loads(body)['choices'][0]['message']['content']
                self.assertTrue(text)
                again = await deployment.post(
                    1, CHAT_PATH, STREAMED, Idempotency_Key='k1'
                )
                # The streaming flag changes the body, so the key conflicts.
                self.assertEqual(409, again[0])
                status, _, same = await deployment.post(
                    1, CHAT_PATH, CHAT, Idempotency_Key='k1'
                )
                self.assertEqual(200, status)
                answer = json.loads(same)['choices'][0]['message']['content']
                self.assertEqual(text, answer)
                billed = int(headers['X-Billed-Tokens'])
                await deployment.wait_spent(billed)
                balance = await deployment.balance()
                self.assertEqual(billed, balance['spent_tokens'])
                runs = [len(each.runs) for each in deployment.engines.values()]
                self.assertEqual(1, sum(runs))

        asyncio.run(scenario())

    def test_non_idempotent_call_runs_once_through_two_routers(self) -> None:
        async def scenario() -> None:
            async with Deployment() as deployment:
                answers = await asyncio.gather(
                    *(
                        deployment.post(
                            router, POST_PATH, {'n': 1}, Idempotency_Key='p1'
                        )
                        for router in (0, 1, 0, 1)
                    )
                )
                self.assertEqual([201] * 4, [each[0] for each in answers])
                self.assertEqual(1, len({each[2] for each in answers}))
                self.assertEqual(1, len(deployment.service.runs))
                await deployment.wait_spent(5)
                balance = await deployment.balance()
                self.assertEqual(5, balance['spent_tokens'])

        asyncio.run(scenario())

    def test_retry_after_a_routers_death_receives_the_run(self) -> None:
        async def scenario() -> None:
            async with Deployment(decode_tokens_s=40) as deployment:
                first = asyncio.create_task(
                    deployment.post(0, CHAT_PATH, CHAT, Idempotency_Key='k2')
                )
                await deployment.wait_runs(1)
                await deployment.routers[0].kill()
                await asyncio.gather(first, return_exceptions=True)
                status, headers, _ = await deployment.post(
                    1, CHAT_PATH, CHAT, Idempotency_Key='k2'
                )
                self.assertEqual(200, status)
                self.assertEqual('answered', headers['X-Outcome'])
                billed = int(headers['X-Billed-Tokens'])
                await deployment.wait_spent(billed, router=1)
                balance = await deployment.balance(1)
                self.assertEqual(billed, balance['spent_tokens'])

        asyncio.run(scenario())

    def test_planned_stops_interrupt_no_request(self) -> None:
        async def scenario() -> None:
            async with Deployment(decode_tokens_s=80) as deployment:
                requests = [
                    asyncio.create_task(
                        deployment.post(router, CHAT_PATH, STREAMED)
                    )
                    for router in (0, 1, 0, 1)
                ]
                await deployment.wait_runs(4)
                deployment.routers[0].signals.receive()
                deployment.sidecars['dues-1'].signals.receive()
                for status, _, body in await asyncio.gather(*requests):
                    self.assertEqual(200, status)
                    self.assertTrue(body.endswith(b'data: [DONE]\n\n'))
                self.assertEqual(0, await deployment.routers[0].task)
                self.assertEqual(0, await deployment.sidecars['dues-1'].task)
                status, headers, _ = await deployment.post(1, CHAT_PATH, CHAT)
                self.assertEqual((200, 'dues-2'), (status, headers['X-Target']))

        asyncio.run(scenario())
