"""A router's view of one target, corrected for the report's age."""

from collections import deque
from typing import NamedTuple

from dandelioncleat.core.identity import Digest
from dandelioncleat.core.message import Load
from dandelioncleat.core.placement import Candidate
from dandelioncleat.core.record import Join

MS_PER_S = 1000
TRANSIT_S = 0.02
MAX_REMEMBERED_ENDS = 256


class SentRun(NamedTuple):
    """A run that this router sent; times are of the event loop in seconds.

    ``unprocessed_tokens`` are those of its prompt until its first output.
    """

    began_at: float
    tokens: int
    unprocessed_tokens: int = 0


class TargetRecord:
    """Combines a sidecar's newest load report with what was sent since."""

    def __init__(self, join: Join) -> None:
        """Take the sidecar's announcement."""
        self.join = join
        self.load: Load | None = None
        self.is_full = False
        self._counted_at: float = 0
        self._sampled_at: float = 0
        self._prefixes: dict[Digest, bool] = {}
        self._sent_by_ticket: dict[int, SentRun] = {}
        self._ends: deque[tuple[SentRun, float]] = deque(
            maxlen=MAX_REMEMBERED_ENDS
        )

    @property
    def in_flight(self) -> int:
        """Return the number of this router's runs at the target."""
        return len(self._sent_by_ticket)

    def take(self, load: Load, now: float) -> None:
        """Replace the load report.

        The sidecar counts runs itself, so that its counts are as old as the
        message; the engine's own report of demand and prefixes is older.

        :param now: time of the event loop at which it was sent, in seconds
        """
        self.load = load
        self.is_full = False
        self._counted_at = now - TRANSIT_S
        self._sampled_at = now - load.age_ms / MS_PER_S
        self._take_prefixes(load)
        while self._ends and self._ends[0][1] < self._counted_at:
            self._ends.popleft()

    def _take_prefixes(self, load: Load) -> None:
        if load.is_whole:
            self._prefixes.clear()
        for evicted in load.evicted:
            self._prefixes.pop(evicted, None)
        self._prefixes.update(dict.fromkeys(load.prefixes, True))

    def forget_load(self) -> None:
        """Forget the report of a sidecar that cannot be reached."""
        self.load = None

    def begin(self, ticket: int, sent: SentRun) -> None:
        """Count a run that is being sent."""
        self._sent_by_ticket[ticket] = sent

    def mark_prompt_processed(self, ticket: int) -> None:
        """Count a run's prompt as processed."""
        sent = self._sent_by_ticket.get(ticket)
        if sent is not None:
            self._sent_by_ticket[ticket] = sent._replace(unprocessed_tokens=0)

    def end(self, ticket: int, now: float) -> None:
        """Count a run as ended."""
        sent = self._sent_by_ticket.pop(ticket, None)
        if sent is not None:
            self._ends.append((sent, now))

    def candidate(self, now: float) -> Candidate | None:
        """Return the target as a candidate, if its load is known."""
        load = self.load
        if load is None or load.leaving or self.is_full:
            return None
        return Candidate(
            sidecar=self.join.incarnation,
            target=self.join.target,
            data_centre=self.join.data_centre,
            slots=load.slots,
            occupancy=self._occupancy(load),
            reported=load.running + load.queued,
            demand_tokens=load.demand_tokens + self._tokens_since_report(),
            kv_tokens=load.kv_tokens,
            waiting_tokens=sum(
                sent.unprocessed_tokens
                for sent in self._sent_by_ticket.values()
            ),
            age_s=now - self._sampled_at,
            prefixes=self._prefixes,
        )

    def _occupancy(self, load: Load) -> int:
        begun_since = sum(
            1
            for sent in self._sent_by_ticket.values()
            if sent.began_at > self._counted_at
        )
        ended_since = sum(
            1
            for sent, ended_at in self._ends
            if sent.began_at <= self._counted_at < ended_at
        )
        estimate = load.running + load.queued + begun_since - ended_since
        return max(estimate, self.in_flight)

    def _tokens_since_report(self) -> int:
        return sum(
            sent.tokens
            for sent in self._sent_by_ticket.values()
            if sent.began_at > self._sampled_at
        )
