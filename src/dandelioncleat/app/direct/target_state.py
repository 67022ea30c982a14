"""What a router knows about one target."""

from collections import deque

from dandelioncleat.app.direct.crash_mark import CrashMark
from dandelioncleat.app.direct.target_cold import TargetCold
from dandelioncleat.app.direct.target_wishes import TargetWishes
from dandelioncleat.app.direct.unread_retries import UnreadRetries
from dandelioncleat.core.deployment import ColdStart, TargetEntry
from dandelioncleat.core.direct_request import DirectRequest
from dandelioncleat.core.held_parts import HeldParts
from dandelioncleat.core.target_pace import TargetPace, slowness_now
from dandelioncleat.core.target_snapshot import TargetSnapshot
from dandelioncleat.ports.direct_target import TargetOccupancy

# A failed target is not used for a while; the pause doubles with each failure.
FAILURE_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0
# A target without room is tried again once some requests may have ended.
REFUSAL_PAUSE_S = 0.2
MAX_ERRORS = 32
ERROR_AGE_S = 5.0
# A load that a target reported is used for this long.
OCCUPANCY_AGE_S = 1.0
# The rest of the KV cache is left for requests that grow.
KV_SHARE = 0.9


class TargetState:
    """Keeps the router's requests at a target and what its answers reported.

    ``next_due_at`` is when its limit would have the router send the next
    request, if requests were evenly spaced; an event loop time in seconds.
    ``errors_at`` is when it last answered with errors, which makes it less
    preferred. ``is_removed`` says that the target is not listed any more.
    """

    def __init__(
        self,
        entry: TargetEntry,
        *,
        kv_tokens: int,
        cold_start: ColdStart | None = None,
    ) -> None:
        """Initialise without any request of this router.

        :param cold_start: how targets of its service start, if that matters
        """
        self.entry = entry
        self.kv_tokens = kv_tokens
        self._kv_tokens_by_id: dict[str, int] = {}
        self._unread_tokens_by_id: dict[str, int] = {}
        self._work_tokens_by_id: dict[str, int] = {}
        self.pace = TargetPace()
        self.cache = HeldParts()
        self._occupancy: TargetOccupancy | None = None
        self._occupancy_at = float('-inf')
        self._failures = 0
        self.errors_at: deque[float] = deque(maxlen=MAX_ERRORS)
        self._paused_until = float('-inf')
        self.wishes = TargetWishes(entry.id)
        self.unread_retries = UnreadRetries()
        self.next_due_at = float('-inf')
        self.is_removed = False
        self.crash_mark = CrashMark()
        self.cold = TargetCold(entry, cold_start)

    @property
    def accepts_new(self) -> bool:
        """Return whether the target neither drains nor leaves."""
        return not (self.entry.is_draining or self.wishes.is_leaving)

    @property
    def is_leaving(self) -> bool:
        """Return whether the target leaves, or was removed from the list."""
        return self.is_removed or not self.accepts_new

    @property
    def running(self) -> int:
        """Return the number of this router's requests at the target."""
        return len(self._kv_tokens_by_id)

    def is_paused(self, now: float) -> bool:
        """Return whether the target should not be used for now."""
        return now < self._paused_until or self.crash_mark.is_set

    def occupancy_age_s(self, now: float) -> float | None:
        """Return the age of the target's last load report, in seconds."""
        if self._occupancy is None:
            return None
        return round(now - self._occupancy_at, 3)

    def view(
        self,
        *,
        data_centre: str,
        now: float,
        usual_pace: float | None = None,
    ) -> TargetSnapshot:
        """Return the inputs for the choice of a target.

        :param usual_pace: seconds for a token of work at most targets
        """
        running, waiting = self.running, 0
        reported = self._occupancy
        if reported is not None and now - self._occupancy_at < OCCUPANCY_AGE_S:
            running = max(running, reported.running)
            waiting = reported.waiting
        own_kv = sum(self._kv_tokens_by_id.values())
        return TargetSnapshot(
            id=self.entry.id,
            is_near=self.entry.data_centre == data_centre,
            slots=self.entry.slots,
            running=running,
            waiting=waiting,
            backlog_tokens=sum(self._unread_tokens_by_id.values()),
            kv_free=int(KV_SHARE * self.kv_tokens) - own_kv,
            errors=sum(at > now - ERROR_AGE_S for at in self.errors_at),
            held_parts=self.cache,
            is_cold=self.cold.is_cold(now),
            software_version=self.entry.software_version,
            slowness=_slowness(
                self.pace, reported, now - self._occupancy_at, usual_pace
            ),
        )

    def begin(self, request: DirectRequest, *, saved_tokens: int = 0) -> None:
        """Note that a request is sent to the target.

        :param saved_tokens: prompt tokens that it fetches and need not read
        """
        prompt = request.prompt
        if prompt is None:
            self._kv_tokens_by_id[request.id] = 0
            return
        self._kv_tokens_by_id[request.id] = prompt.max_total_tokens
        unread = max(0, self.cache.unread_tokens(prompt) - saved_tokens)
        backlog = sum(self._unread_tokens_by_id.values())
        self._work_tokens_by_id[request.id] = unread + backlog
        self._unread_tokens_by_id[request.id] = unread
        self.cache.note_sent(prompt, capacity_tokens=self.kv_tokens)

    def note_first_token(self, request: str, *, passed_s: float) -> None:
        """Note that a request's prompt has been read.

        :param passed_s: time since the request was sent
        """
        self._unread_tokens_by_id.pop(request, None)
        work_tokens = self._work_tokens_by_id.pop(request, None)
        if work_tokens is not None:
            self.pace.note(passed_s, work_tokens)

    def end(self, request: str) -> None:
        """Note that a request has left the target."""
        self._kv_tokens_by_id.pop(request, None)
        self._unread_tokens_by_id.pop(request, None)
        self._work_tokens_by_id.pop(request, None)

    def note_answer(
        self, occupancy: TargetOccupancy | None, now: float
    ) -> None:
        """Note a successful answer and the load that it reported."""
        self.crash_mark.note_sign_of_life(now)
        self._failures = 0
        self._paused_until = float('-inf')
        self.note_occupancy(occupancy, now)

    def note_occupancy(
        self, occupancy: TargetOccupancy | None, now: float
    ) -> None:
        """Note the load that an answer reported, if it did."""
        if occupancy is not None:
            self._occupancy = occupancy
            self._occupancy_at = now

    def note_refusal(
        self, occupancy: TargetOccupancy | None, now: float
    ) -> None:
        """Pause a target that had no room, and note the reported load."""
        self.note_occupancy(occupancy, now)
        self._paused_until = max(self._paused_until, now + REFUSAL_PAUSE_S)

    def note_failure(self, now: float) -> None:
        """Pause a failed target, longer after each consecutive failure."""
        pause_s = min(MAX_PAUSE_S, FAILURE_PAUSE_S * 2**self._failures)
        self._failures += 1
        self._paused_until = now + pause_s


def _slowness(
    pace: TargetPace,
    reported: TargetOccupancy | None,
    age_s: float,
    usual_pace: float | None,
) -> float:
    """Return how long work takes at a target against the usual.

    Targets that never say how slow they are have machines of their own.
    """
    if reported is None or reported.slowness is None:
        return 1
    told = slowness_now(reported.slowness, age_s)
    return told * pace.relative(usual_pace)
