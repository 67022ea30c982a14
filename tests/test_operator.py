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
    operate,
    running_site,
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
            async with running_site() as site:
                await scenario(site)

        asyncio.run(run())

    async def _submit(self, site, path, against, *options, **key):
        words = ('patch', 'submit', path, '--against', str(against))
        return await operate(site, *words, *options, **key)

    def test_submitting_twice_has_one_effect(self):
        async def scenario(site):
            for _ in range(2):
                ran = await self._submit(site, self.patch, 0, '--json')
                self.assertEqual((0, 1), (ran.code, ran.document['version']))
            shown = await operate(site, 'patch', 'show', ran.document['id'])
            self.assertIn('version 1', shown.output)
            history = await operate(site, 'config', 'history', '--json')
            self.assertEqual(
                ['bootstrap'], [entry['operator'] for entry in history.document]
            )

        self._run(scenario)

    def test_lost_answers_of_the_log_have_one_effect(self):
        async def scenario(site):
            site.log.lost_answer_share = 0.9
            ran = await self._submit(site, self.patch, 0)
            self.assertEqual(0, ran.code)
            self.assertEqual(1, site.configuration.current.version)

        self._run(scenario)

    def test_loser_of_a_race_is_told_who_won(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0, '--id', 'mine')
            other = self._file({'policy': {'subset_size': 3}}, 'other.json')
            ran = await self._submit(site, other, 0)
            self.assertEqual(1, ran.code)
            self.assertIn('patch mine by bootstrap won', ran.errors)
            ran = await self._submit(site, other, 1, '--id', 'mine')
            self.assertEqual(1, ran.code)
            self.assertIn('another patch has the id', ran.errors)
            early = await self._submit(site, other, 7)
            self.assertIn('newest version is 1', early.errors)
            again = await self._submit(site, other, 1)
            self.assertEqual(0, again.code)

        self._run(scenario)

    def test_router_that_has_read_nothing_sends_operators_elsewhere(self):
        async def scenario(site):
            site.configuration.caught_up.clear()
            ran = await operate(site, 'config', 'show', '--timeout', '0.2')
            self.assertEqual(3, ran.code)
            self.assertIn('not read to their end', ran.errors)

        self._run(scenario)

    def test_status_before_the_first_patch(self):
        async def scenario(site):
            ran = await operate(site, 'status', '--json')
            self.assertEqual((0, 0), (ran.code, ran.document['version']))
            ran = await operate(site, 'organisation', 'list', '--json')
            self.assertEqual([], ran.document)

        self._run(scenario)

    def test_orders_that_make_no_sense_are_refused(self):
        async def scenario(site):
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
                    url = f'{site.url}/operator/{paths[number % len(paths)]}'
                    body = b''.join(source.choices(pieces, k=number % 9))
                    async with session.post(url, data=body) as response:
                        self.assertIn(response.status, {400, 404})
                        self.assertIn('text', await response.json())

        self._run(scenario)

    def test_bad_patch_is_rejected_with_every_error(self):
        async def scenario(site):
            document = build_document()
            document['targets']['dues-1']['service'] = 'none'
            document['policy']['subset_size'] = 'many'
            bad = self._file(document, 'bad.json')
            ran = await self._submit(site, bad, 0)
            self.assertEqual(1, ran.code)
            self.assertIn('policy.subset_size', ran.errors)
            ran = await self._submit(site, bad, 0, '--json')
            self.assertEqual('invalid', ran.document['verdict'])
            self.assertEqual(0, site.configuration.current.version)

        self._run(scenario)

    def test_unknown_policy_is_not_submitted(self):
        async def scenario(site):
            names = {'grant_policy': 'fixd', 'placement_policy': 'kv_demand'}
            path = self._file({'policy': names}, 'policy.json')
            ran = await self._submit(site, path, 0)
            self.assertEqual(1, ran.code)
            self.assertIn('policy.grant_policy', ran.errors)
            self.assertNotIn('placement_policy', ran.errors)
            self.assertEqual({}, site.configuration.fold.known_by_patch)

        self._run(scenario)

    def test_keys_work_in_their_own_place_only(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0)
            caller, operator = build_key(1).text, build_key(2).text
            for key, code in ((caller, 5), ('', 5), (operator, 0)):
                ran = await operate(site, 'config', 'show', key=key)
                self.assertEqual(code, ran.code, ran.errors)
            async with aiohttp.ClientSession() as session:
                for path in ('status', 'patches', 'organisations'):
                    url = f'{site.url}/operator/{path}'
                    async with session.get(url) as response:
                        self.assertIn(response.status, {401, 405})

        self._run(scenario)

    def test_large_body_is_refused(self):
        async def scenario(site):
            large = self._file({'x': 'y' * 300_000}, 'large.json')
            ran = await self._submit(site, large, 0)
            self.assertEqual(1, ran.code)
            self.assertIn('at most', ran.errors)

        self._run(scenario)

    def test_unreachable_router_and_down_log_are_unknown(self):
        async def scenario(site):
            site.log.outage = True
            ran = await self._submit(
                site._replace(url='http://127.0.0.1:9'),
                self.patch,
                0,
                '--timeout',
                '0.2',
            )
            self.assertEqual(3, ran.code)
            waiting = asyncio.create_task(
                self._submit(site, self.patch, 0, '--timeout', '0.2'),
            )
            self.assertEqual(3, (await waiting).code)
            site.log.outage = False
            ran = await self._submit(site, self.patch, 0)
            self.assertEqual(0, ran.code)
            self.assertEqual(1, site.configuration.current.version)

        self._run(scenario)

    def test_wait_names_who_lags(self):
        async def scenario(site):
            limit = ('--wait', '--wait-limit', '0.2')
            behind = Status(SIDECAR, 'sidecar', 'ready', 0, Digest(''), b'')
            site.peers.status_by_address['gpu-1'] = behind
            ran = await self._submit(site, self.patch, 0, *limit)
            self.assertEqual(4, ran.code)
            self.assertIn(SIDECAR, ran.errors)
            site.peers.status_by_address['gpu-1'] = Status(
                SIDECAR, 'sidecar', 'ready', 1, Digest('x'), b'{"runs": 2}'
            )
            ran = await self._submit(site, self.patch, 0, *limit)
            self.assertEqual(0, ran.code)
            self.assertIn('in force everywhere', ran.output)
            shown = await operate(site, 'status')
            self.assertIn(f'history of patches: {SIDECAR}', shown.output)

        self._run(scenario)

    def test_status_shows_what_needs_an_operator(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0)
            await self._grant(site)
            await site.fleet.submit(
                Retire(self.holder, 'dead'),
                Crash('dues-1', (Digest('abc'),), 'crash-1'),
                Crash('dues-1', (Digest('abc'),), 'crash-2'),
            )
            ran = await operate(site, 'status', '--json')
            fleet = ran.document
            states = {m['incarnation']: m['state'] for m in fleet['members']}
            self.assertEqual(
                {'router-1/1': 'ready', SIDECAR: 'unreachable'}, states
            )
            self.assertEqual([SIDECAR], fleet['lagging'])
            self.assertEqual([100], [v['tokens'] for v in fleet['stranded']])
            self.assertTrue(fleet['quarantined'][0]['is_refused'])
            shown = await operate(site, 'status')
            self.assertIn('stranded tokens', shown.output)
            lifted = await operate(site, 'quarantine', 'lift', 'abc')
            self.assertEqual(0, lifted.code)
            again = await operate(site, 'quarantine', 'lift', 'abc')
            self.assertEqual(1, again.code)

        self._run(scenario)

    holder = 'router-9/1'

    async def _grant(self, site):
        top_up = ('organisation', 'top-up', 'agent-1', '1000')
        ran = await operate(site, *top_up, '--reference', 'invoice-1')
        self.assertEqual(0, ran.code, ran.errors)
        budget = BudgetId('agent-1')
        grant = RequestGrant(GrantId(self.holder, 1), budget, 100, 1)
        await site.shards.of(budget).follower.submit(grant)

    def test_release_needs_a_fence_and_the_lost_sidecars(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0)
            await self._grant(site)
            release = ('budget', 'release', self.holder)
            ran = await operate(site, *release)
            self.assertEqual(1, ran.code)
            self.assertIn('not retired', ran.errors)
            await site.fleet.submit(Retire(self.holder, 'dead'))
            ran = await operate(site, *release)
            self.assertEqual(1, ran.code)
            self.assertIn(SIDECAR, ran.errors)
            for tokens in (100, 0):
                ran = await operate(site, *release, '--gone', SIDECAR)
                self.assertIn(f'Freed {tokens} tokens', ran.output)
            ran = await operate(site, 'budget', 'holders', '--json')
            self.assertEqual([], ran.document)

        self._run(scenario)

    def test_retire_fences_a_member_only(self):
        async def scenario(site):
            ran = await operate(site, 'budget', 'retire', 'nobody/1')
            self.assertEqual(1, ran.code)
            ran = await operate(site, 'budget', 'retire', 'router-1/1')
            self.assertEqual(0, ran.code)
            self.assertTrue(site.fleet.fold.is_retired('router-1/1'))

        self._run(scenario)

    def test_top_up_is_idempotent_by_reference(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0)
            words = ('organisation', 'top-up', 'agent-1', '50', '--reference')
            for expected in ('Added 50 tokens', 'was topped up before'):
                ran = await operate(site, *words, 'invoice-7')
                self.assertIn(expected, ran.output)
            ran = await operate(site, *words, 'initial')
            self.assertEqual(1, ran.code)
            ran = await operate(
                site, 'organisation', 'show', 'agent-1', '--json'
            )
            self.assertEqual(50, ran.document['budgets'][0]['topped_up'])
            listed = await operate(site, 'organisation', 'list')
            self.assertIn('agent-1', listed.output)
            ran = await operate(site, 'organisation', 'show', 'nobody')
            self.assertEqual(1, ran.code)

        self._run(scenario)

    def test_drain_makes_a_version_once(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0)
            for _ in range(2):
                ran = await operate(site, 'target', 'drain', 'dues-1')
                self.assertIn('since version 2', ran.output)
            self.assertTrue(
                site.configuration.current.targets_by_name['dues-1'].drain
            )
            listed = await operate(site, 'target', 'list', '--json')
            sidecars = {t['name']: t['sidecars'] for t in listed.document}
            self.assertEqual([SIDECAR], sidecars['dues-1'])
            ran = await operate(site, 'target', 'drain', 'nobody')
            self.assertEqual(1, ran.code)

        self._run(scenario)

    def test_shown_configuration_and_differences(self):
        async def scenario(site):
            await self._submit(site, self.patch, 0)
            await operate(site, 'target', 'drain', 'dues-1')
            shown = await operate(site, 'config', 'show')
            self.assertIn('billing-app', shown.output)
            self.assertNotIn(build_key(1).entry.digest, shown.output)
            ran = await operate(site, 'config', 'diff', '1', '--json')
            line = {'key': 'targets.dues-1.drain', 'before': False}
            self.assertEqual([{**line, 'after': True}], ran.document)
            ran = await operate(site, 'config', 'show', '--version', '9')
            self.assertEqual(1, ran.code)

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
