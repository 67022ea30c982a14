"""Decides how a request goes on when an attempt to serve it has ended."""

import asyncio

from dandelioncleat.app.answer_reader import AnswerReader, Lost
from dandelioncleat.app.course import Course
from dandelioncleat.app.parts import Parts
from dandelioncleat.app.sealing import is_sealed
from dandelioncleat.core.failure import Code, Failure
from dandelioncleat.core.message import Finished, Refusal
from dandelioncleat.core.request import AnswerEnd, Outcome
from dandelioncleat.core.retry import ELSEWHERE_CODES, backoff_s

ERROR_REASON = 'error'
MAX_ATTEMPTS = 5
SEALABLE_CODES = frozenset((Code.NOT_FOUND, Code.FENCED))


class Conclusion:
    """Answers, refuses or starts again, as is safe.

    A request starts again if its run never ran, or if it is idempotent and
    its caller has received nothing of the run that was lost.
    """

    def __init__(self, parts: Parts) -> None:
        """Take the parts of the router."""
        self._parts = parts

    async def conclude(self, course: Course, reader: AnswerReader) -> None:
        """End an attempt whose answer was read to its end."""
        match reader.ending:
            case Finished(complete=True) as finished:
                self._parts.settlement.finish(course, finished)
                course.end_event = self._answered(course, finished)
            case Finished() as finished:
                self._parts.settlement.finish(course, finished)
                await self._cut(course, finished)
            case Refusal() as refusal:
                await self._refused(course, refusal)
            case Lost(sent=False) as lost:
                course.may_run = False
                self._parts.watch.mark_lost(course.sent_permit.executor)
                await self._not_run(course, lost.failure)
            case Lost() as lost:
                await self._lose(course, lost.failure)

    async def recover(self, course: Course, failure: Failure) -> None:
        """End an attempt that did not come to read an answer."""
        if course.permit is None:
            self._parts.settlement.release(course)
            self._refuse(course, failure)
        else:
            await self._lose(course, failure)

    async def _cut(self, course: Course, finished: Finished) -> None:
        # It ran in part, so that its caller is never told that it did not.
        course.may_run = True
        failure = Failure(
            Code.TARGET,
            'run',
            course.target,
            f'the run was cut: {finished.reason}',
        )
        if finished.reason == ERROR_REASON:
            await self._lose(course, failure)
        else:
            self._refuse(course, failure)

    async def _refused(self, course: Course, refusal: Refusal) -> None:
        failure = _failure_of(refusal)
        if refusal.ran or refusal.code in SEALABLE_CODES:
            await self._seal(course, failure)
        elif refusal.code in ELSEWHERE_CODES:
            course.may_run = False
            self._parts.watch.mark_full(course.sent_permit.executor)
            await self._not_run(course, failure)
        else:
            course.may_run = False
            await self._report(course, ran=False)
            self._parts.settlement.release(course)
            self._refuse(course, failure)

    async def _seal(self, course: Course, failure: Failure) -> None:
        """Have the executor confirm that it will never run this run."""
        permit = course.sent_permit
        executor = self._parts.watch.join_of(permit.executor)
        sealed = False
        if executor is not None and course.delivered == 0:
            sealed = await is_sealed(self._parts.peers, executor, permit.run)
        if sealed:
            course.may_run = False
            await self._not_run(course, failure)
        else:
            await self._lose(course, failure)

    async def _not_run(self, course: Course, failure: Failure) -> None:
        """Go on after a run that is known never to run."""
        self._parts.settlement.release(course)
        await self._report(course, ran=False)
        await self._retry(course, failure)

    async def _lose(self, course: Course, failure: Failure) -> None:
        """Go on after a run that may have run and whose answer is lost."""
        if not course.can_rerun:
            self._refuse(course, failure)
            return
        permit = course.sent_permit
        course.lost_runs += 1
        self._parts.watch.mark_lost(permit.executor)
        await self._report(course, ran=True)
        await self._retry(course, failure)

    async def _report(self, course: Course, *, ran: bool) -> None:
        run = course.sent_permit.run
        await self._parts.homes.report(run, status=0, ran=ran)

    async def _retry(self, course: Course, failure: Failure) -> None:
        now = asyncio.get_running_loop().time()
        is_spent = course.attempts >= MAX_ATTEMPTS or now >= course.deadline
        if is_spent or not self._parts.retries.take():
            self._refuse(course, failure)
            return
        self._parts.telemetry.count('router.retries')
        course.excluded = (*course.excluded, course.sent_permit.executor)
        self._parts.settlement.leave(course)
        course.forget_attempt()
        await asyncio.sleep(backoff_s(course.attempts, self._parts.random))

    def _refuse(self, course: Course, failure: Failure) -> None:
        retry_after_s: float = 0
        if failure.code == Code.CAPACITY:
            service = course.request.service
            retry_after_s = self._parts.gate.retry_after_s(service)
        version = self._parts.configuration.current.version
        course.refuse(failure, version=version, retry_after_s=retry_after_s)

    def _answered(self, course: Course, finished: Finished) -> AnswerEnd:
        return AnswerEnd(
            Outcome.ANSWERED,
            course.request.request,
            self._parts.configuration.current.version,
            target=course.target,
            status=finished.status,
            content_type=finished.content_type,
            reason=finished.reason,
            prompt_tokens=finished.prompt_tokens,
            output_tokens=finished.output_tokens,
            billed_tokens=finished.tokens,
        )


def _failure_of(refusal: Refusal) -> Failure:
    return Failure(refusal.code, refusal.step, refusal.peer, refusal.text)
