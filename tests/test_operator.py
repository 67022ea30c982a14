"""Tests of the operator commands against a router's interface."""

import asyncio
import contextlib
import io
import json
import random
import tempfile
from pathlib import Path

import aiohttp
from testtools import TestCase

from dandelioncleat.__main__ import main
from dandelioncleat.core.configuration import CredentialHash
from dandelioncleat.core.credential import verify_key
from dandelioncleat.core.identity import BudgetId, Digest, GrantId
from dandelioncleat.core.message import Status
from dandelioncleat.core.record import Crash, RequestGrant, Retire
from tests.builders.configuration import build_document, build_key
from tests.builders.operator import (
    BOOTSTRAP,
    SIDECAR,
    run_operator,
    running_operator_server,
)


class OperatorTest(TestCase):
    """Runs the commands as an operator would."""

    def setUp(self):
        super().setUp()
        self.directory = Path(
            self.enterContext(tempfile.TemporaryDirectory()),
        )
        self.patch = self._file(build_document())

    def _file(self, document, name='patch.json'):
        path = self.directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def _run(self, scenario):
        async def run():
            async with running_operator_server() as server:
                await scenario(server)

        asyncio.run(run())

    async def _submit(self, server, path, against, *options, **key):
        words = ('patch', 'submit', path, '--against', str(against))
        return await run_operator(server, *words, *options, **key)

    def test_submitting_twice_has_one_effect(self):
        async def scenario(server):
            for _ in range(2):
                result = await self._submit(server, self.patch, 0, '--json')
                self.assertEqual(
                    (0, 1), (result.code, result.document['version'])
                )
            shown = await run_operator(
                server, 'patch', 'show', result.document['id']
            )
            self.assertIn('version 1', shown.output)
            history = await run_operator(server, 'config', 'history', '--json')
            self.assertEqual(
                ['bootstrap'], [entry['operator'] for entry in history.document]
            )

        self._run(scenario)

    def test_lost_answers_of_the_log_have_one_effect(self):
        async def scenario(server):
            server.log.lost_answer_share = 0.9
            result = await self._submit(server, self.patch, 0)
            self.assertEqual(0, result.code)
            self.assertEqual(1, server.configuration.current.version)

        self._run(scenario)

    def test_conflicting_patch_is_rejected_with_the_winner(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0, '--id', 'mine')
            other = self._file({'policy': {'subset_size': 3}}, 'other.json')
            result = await self._submit(server, other, 0)
            self.assertEqual(1, result.code)
            self.assertIn('patch mine by bootstrap won', result.errors)
            result = await self._submit(server, other, 1, '--id', 'mine')
            self.assertEqual(1, result.code)
            self.assertIn('another patch has the id', result.errors)
            early = await self._submit(server, other, 7)
            self.assertIn('newest version is 1', early.errors)
            again = await self._submit(server, other, 1)
            self.assertEqual(0, again.code)

        self._run(scenario)

    def test_router_that_has_not_caught_up_is_unavailable(self):
        async def scenario(server):
            server.configuration.caught_up.clear()
            result = await run_operator(
                server, 'config', 'show', '--timeout', '0.2'
            )
            self.assertEqual(3, result.code)
            self.assertIn('not yet read to their end', result.errors)

        self._run(scenario)

    def test_status_before_the_first_patch(self):
        async def scenario(server):
            result = await run_operator(server, 'status', '--json')
            self.assertEqual((0, 0), (result.code, result.document['version']))
            result = await run_operator(
                server, 'organisation', 'list', '--json'
            )
            self.assertEqual([], result.document)

        self._run(scenario)

    def test_malformed_requests_are_refused(self):
        async def scenario(server):
            headers = {'Authorization': f'Bearer {BOOTSTRAP.text}'}
            source = random.Random(7)
            pieces = [b'{', b'}', b'"tokens"', b':', b'-1', b',', b'\xff']
            paths = (
                'organisations/x/top-ups',
                'retirements',
                'releases',
                'absolutions',
                'patches?against=-1&id=x',
                'patches?against=1',
            )
            async with aiohttp.ClientSession(headers=headers) as session:
                for number in range(120):
                    url = f'{server.url}/operator/{paths[number % len(paths)]}'
                    body = b''.join(source.choices(pieces, k=number % 9))
                    async with session.post(url, data=body) as response:
                        self.assertIn(response.status, {400, 404})
                        self.assertIn('text', await response.json())

        self._run(scenario)

    def test_bad_patch_is_rejected_with_every_error(self):
        async def scenario(server):
            document = build_document()
            document['targets']['dues-1']['service'] = 'none'
            document['policy']['subset_size'] = 'many'
            bad = self._file(document, 'bad.json')
            result = await self._submit(server, bad, 0)
            self.assertEqual(1, result.code)
            self.assertIn('policy.subset_size', result.errors)
            result = await self._submit(server, bad, 0, '--json')
            self.assertEqual('invalid', result.document['verdict'])
            self.assertEqual(0, server.configuration.current.version)

        self._run(scenario)

    def test_unknown_policy_is_not_submitted(self):
        async def scenario(server):
            names = {'grant_policy': 'fixd', 'placement_policy': 'kv_demand'}
            path = self._file({'policy': names}, 'policy.json')
            result = await self._submit(server, path, 0)
            self.assertEqual(1, result.code)
            self.assertIn('policy.grant_policy', result.errors)
            self.assertNotIn('placement_policy', result.errors)
            self.assertEqual({}, server.configuration.fold.known_by_patch)

        self._run(scenario)

    def test_caller_and_operator_keys_are_not_interchangeable(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0)
            caller, operator = build_key(1).text, build_key(2).text
            for key, code in ((caller, 5), ('', 5), (operator, 0)):
                result = await run_operator(server, 'config', 'show', key=key)
                self.assertEqual(code, result.code, result.errors)
            async with aiohttp.ClientSession() as session:
                for path in ('status', 'patches', 'organisations'):
                    url = f'{server.url}/operator/{path}'
                    async with session.get(url) as response:
                        self.assertIn(response.status, {401, 405})

        self._run(scenario)

    def test_large_body_is_refused(self):
        async def scenario(server):
            large = self._file({'x': 'y' * 300_000}, 'large.json')
            result = await self._submit(server, large, 0)
            self.assertEqual(1, result.code)
            self.assertIn('the body exceeds', result.errors)

        self._run(scenario)

    def test_unreachable_router_and_log_outage_have_unknown_outcome(self):
        async def scenario(server):
            server.log.outage = True
            result = await self._submit(
                server._replace(url='http://127.0.0.1:9'),
                self.patch,
                0,
                '--timeout',
                '0.2',
            )
            self.assertEqual(3, result.code)
            waiting = asyncio.create_task(
                self._submit(server, self.patch, 0, '--timeout', '0.2'),
            )
            self.assertEqual(3, (await waiting).code)
            server.log.outage = False
            result = await self._submit(server, self.patch, 0)
            self.assertEqual(0, result.code)
            self.assertEqual(1, server.configuration.current.version)

        self._run(scenario)

    def test_wait_names_the_lagging_processes(self):
        async def scenario(server):
            limit = ('--wait', '--wait-limit', '0.2')
            behind = Status(SIDECAR, 'sidecar', 'ready', 0, Digest(''), b'')
            server.peers.status_by_address['gpu-1'] = behind
            result = await self._submit(server, self.patch, 0, *limit)
            self.assertEqual(4, result.code)
            self.assertIn(SIDECAR, result.errors)
            server.peers.status_by_address['gpu-1'] = Status(
                SIDECAR, 'sidecar', 'ready', 1, Digest('x'), b'{"runs": 2}'
            )
            result = await self._submit(server, self.patch, 0, *limit)
            self.assertEqual(0, result.code)
            self.assertIn('in force everywhere', result.output)
            shown = await run_operator(server, 'status')
            self.assertIn(f'history of patches: {SIDECAR}', shown.output)

        self._run(scenario)

    def test_status_shows_what_needs_an_operator(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0)
            await self._grant(server)
            await server.fleet.submit(
                Retire(self.holder, 'dead'),
                Crash('dues-1', (Digest('abc'),), 'crash-1'),
                Crash('dues-1', (Digest('abc'),), 'crash-2'),
            )
            result = await run_operator(server, 'status', '--json')
            fleet = result.document
            states = {m['incarnation']: m['state'] for m in fleet['members']}
            self.assertEqual(
                {'router-1/1': 'ready', SIDECAR: 'unreachable'}, states
            )
            self.assertEqual([SIDECAR], fleet['lagging'])
            self.assertEqual([100], [v['tokens'] for v in fleet['stranded']])
            self.assertTrue(fleet['quarantined'][0]['is_refused'])
            shown = await run_operator(server, 'status')
            self.assertIn('stranded tokens', shown.output)
            lifted = await run_operator(server, 'quarantine', 'lift', 'abc')
            self.assertEqual(0, lifted.code)
            again = await run_operator(server, 'quarantine', 'lift', 'abc')
            self.assertEqual(1, again.code)

        self._run(scenario)

    holder = 'router-9/1'

    async def _grant(self, server):
        top_up = ('organisation', 'top-up', 'agent-1', '1000')
        result = await run_operator(server, *top_up, '--reference', 'invoice-1')
        self.assertEqual(0, result.code, result.errors)
        budget = BudgetId('agent-1')
        grant = RequestGrant(GrantId(self.holder, 1), budget, 100, 1)
        await server.shards.of(budget).follower.submit(grant)

    def test_release_needs_a_fence_and_the_lost_sidecars(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0)
            await self._grant(server)
            release = ('budget', 'release', self.holder)
            result = await run_operator(server, *release)
            self.assertEqual(1, result.code)
            self.assertIn('not retired', result.errors)
            await server.fleet.submit(Retire(self.holder, 'dead'))
            result = await run_operator(server, *release)
            self.assertEqual(1, result.code)
            self.assertIn(SIDECAR, result.errors)
            for tokens in (100, 0):
                result = await run_operator(server, *release, '--gone', SIDECAR)
                self.assertIn(f'Freed {tokens} tokens', result.output)
            result = await run_operator(server, 'budget', 'holders', '--json')
            self.assertEqual([], result.document)

        self._run(scenario)

    def test_retire_fences_a_member_only(self):
        async def scenario(server):
            result = await run_operator(server, 'budget', 'retire', 'nobody/1')
            self.assertEqual(1, result.code)
            result = await run_operator(
                server, 'budget', 'retire', 'router-1/1'
            )
            self.assertEqual(0, result.code)
            self.assertTrue(server.fleet.fold.is_retired('router-1/1'))

        self._run(scenario)

    def test_top_up_is_idempotent_by_reference(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0)
            words = ('organisation', 'top-up', 'agent-1', '50', '--reference')
            for expected in ('Added 50 tokens', 'was topped up before'):
                result = await run_operator(server, *words, 'invoice-7')
                self.assertIn(expected, result.output)
            result = await run_operator(server, *words, 'initial')
            self.assertEqual(1, result.code)
            result = await run_operator(
                server, 'organisation', 'show', 'agent-1', '--json'
            )
            self.assertEqual(50, result.document['budgets'][0]['topped_up'])
            listed = await run_operator(server, 'organisation', 'list')
            self.assertIn('agent-1', listed.output)
            result = await run_operator(
                server, 'organisation', 'show', 'nobody'
            )
            self.assertEqual(1, result.code)

        self._run(scenario)

    def test_drain_makes_a_version_once(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0)
            for _ in range(2):
                result = await run_operator(server, 'target', 'drain', 'dues-1')
                self.assertIn('since version 2', result.output)
            self.assertTrue(
                server.configuration.current.targets_by_name['dues-1'].drain
            )
            listed = await run_operator(server, 'target', 'list', '--json')
            sidecars = {t['name']: t['sidecars'] for t in listed.document}
            self.assertEqual([SIDECAR], sidecars['dues-1'])
            result = await run_operator(server, 'target', 'drain', 'nobody')
            self.assertEqual(1, result.code)

        self._run(scenario)

    def test_shown_configuration_and_differences(self):
        async def scenario(server):
            await self._submit(server, self.patch, 0)
            await run_operator(server, 'target', 'drain', 'dues-1')
            shown = await run_operator(server, 'config', 'show')
            self.assertIn('billing-app', shown.output)
            self.assertNotIn(build_key(1).entry.digest, shown.output)
            result = await run_operator(server, 'config', 'diff', '1', '--json')
            line = {'key': 'targets.dues-1.drain', 'before': False}
            self.assertEqual([{**line, 'after': True}], result.document)
            result = await run_operator(
                server, 'config', 'show', '--version', '9'
            )
            self.assertEqual(1, result.code)

        self._run(scenario)


class KeyTest(TestCase):
    """Makes keys without a router."""

    def test_key_fits_its_entry(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            main(['operator', 'key', 'new', '--json'])
        made = json.loads(output.getvalue())
        entry = CredentialHash(**made['entry'])
        self.assertTrue(verify_key(made['key'], entry))
