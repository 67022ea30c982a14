"""Tests of prompt parts that crash each target that answers them."""

import testtools

from tests.builders.direct import (
    MODEL_HEADERS,
    crashed_after,
    events,
    run_with_fleet,
)
from tests.builders.quarantine import list_start, wait_for_crash

# The users bound what is sent once a part has crashed this many targets.
ALLOWED_CRASHES = 5


class RouterTest(testtools.TestCase):
    """A router refuses prompts with a part that crashes targets."""

    def _play(self, prompts):
        """Send prompts in turn; a target with the part ``bad`` crashes.

        Returns the status of each answer.
        """

        async def scenario(fleet):
            statuses = []
            await list_start(fleet, 0, fleet.llm)
            for number, parts in enumerate(prompts, start=1):
                sent = len(fleet.llm.requests)
                fleet.llm.answers = [_answer(fleet.llm)]
                statuses.append(await _call(fleet, number, parts))
                has_run = len(fleet.llm.requests) > sent
                if 'bad' in parts and has_run:
                    await wait_for_crash(fleet, fleet.llm, number - 1)
                    await fleet.llm.start()
                await list_start(fleet, number, fleet.llm)
            return statuses

        return run_with_fleet(scenario)

    def test_part_that_crashed_five_targets_is_refused(self):
        bad = [f'aa:40,bad:30,x{n}:30' for n in range(ALLOWED_CRASHES + 1)]
        self.assertEqual(b'503', self._play(bad)[-1])

    def test_sound_prompts_with_its_neighbours_are_served(self):
        bad = [f'aa:40,bad:30,x{n}:30' for n in range(ALLOWED_CRASHES + 1)]
        sound = 'aa:40,bb:30,y:30'
        statuses = self._play([*bad, sound, bad[0]])
        self.assertEqual([b'200', b'503'], statuses[-2:])


def _answer(target):
    """Return an answer that breaks off with its target at a bad part."""
    broken = crashed_after(target, events(0, 0, cut=True))

    async def answer(request):
        if 'bad' in request.headers['Prompt-Prefix']:
            return await broken(request)
        return await events(0, 2)(request)

    return answer


async def _call(fleet, number, parts):
    """Send a prompt that is like no other; return the answer's status."""
    headers = {**MODEL_HEADERS, 'Prompt-Prefix': parts}
    answer = await fleet.raw_answer(f'/stream/{number}', **headers)
    return answer.head.split()[1]
