"""Judges what routers send to targets by the limits beside that on repeats."""

from collections import defaultdict
from typing import NamedTuple

# Targets may be handed this much more time than is left, in seconds.
TIME_SLACK_S = 0.5
# Requests that are under way as a target asks for a pause may still arrive.
PAUSE_SLACK_S = 0.5
ALLOWED_IN_PAUSE = 2
ALLOWED_OVER_TARGETS = 3
ALLOWED_LATE_TIMES = 20
ALLOWED_AT_WORK_SHARE = 0.25
ALLOWED_LATE_SHARE = 0.2
TOKENS_PER_EVENT = 5


class Receipt(NamedTuple):
    """A request as a target got it.

    ``at`` is when the target took it up, a monotonic time, and ``left_s`` the
    time that it was given, in seconds; ``left_s`` is ``None`` without one.
    ``came_at`` is when it was at the target's socket, which is earlier if the
    target stood still.
    """

    at: float
    request: str
    target: str
    left_s: float | None
    came_at: float


class Pause(NamedTuple):
    """A target's answer that it wants nothing; times are in seconds."""

    at: float
    request: str
    target: str
    length_s: float


class Used(NamedTuple):
    """How far the limits were used that bind beside that on repeats.

    ``targets`` counts requests that ran on too many targets, ``time`` those
    that were handed too much time, of ``repeats`` that were handed that or were
    sent once more late; ``pauses`` counts pauses in which too much was sent;
    ``order`` counts streams with events that are missing or come twice;
    ``at_work`` counts runs that went on for too long after their callers had
    left, of ``left`` such callers; ``prepaid`` is the used part of the prepaid
    tokens.
    """

    targets: int
    time: int
    repeats: int
    pauses: int
    order: int
    at_work: int
    left: int
    prepaid: float

    @property
    def broken(self):
        """Return the names of the limits that were passed."""
        is_late = self.time > ALLOWED_LATE_TIMES
        is_passed_by_name = {
            'targets': self.targets > ALLOWED_OVER_TARGETS,
            'time': is_late and self.time > ALLOWED_LATE_SHARE * self.repeats,
            'pauses': self.pauses > 0,
            'order': self.order > 0,
            'at work': self.at_work > ALLOWED_AT_WORK_SHARE * self.left,
            'prepaid': self.prepaid > 1,
        }
        return [name for name, passed in is_passed_by_name.items() if passed]


def ran_too_often(runs, max_targets):
    """Return the requests that ran on more targets than their routes allow.

    :param runs: pairs of a request and a target
    :param max_targets: on how many targets a request may run
    """
    targets_by_request = defaultdict(set)
    for request, target in runs:
        targets_by_request[request].add(target)
    return [
        request
        for request, targets in targets_by_request.items()
        if len(targets) > max_targets
    ]


def handed_too_much_time(receipts, sent_by_request):
    """Return the receipts with more time than their callers had left.

    With them come all that were sent once more so late that they may count.

    :param sent_by_request: the requests that count, by id
    """
    first_by_request = {}
    wrong = []
    repeats = []
    for receipt in sorted(receipts, key=lambda each: each.came_at):
        sent = sent_by_request.get(receipt.request)
        if sent is None:
            continue
        first = first_by_request.setdefault(receipt.request, receipt)
        is_repeat = receipt.came_at > first.came_at + TIME_SLACK_S
        if is_repeat:
            repeats.append(receipt)
        if receipt.left_s is None:
            wrong.append(receipt)
            continue
        own_end = sent.sent_at + sent.kind.limit_s
        ends = max(own_end, first.came_at + (first.left_s or 0))
        is_late = (
            is_repeat and receipt.came_at + receipt.left_s > ends + TIME_SLACK_S
        )
        if is_late or receipt.left_s > sent.kind.limit_s + TIME_SLACK_S:
            wrong.append(receipt)
    return wrong, {*wrong, *repeats}


def sent_in_pauses(receipts, pauses, sent_by_request, *, is_excused):
    """Return the pauses in which a router sent more than it may.

    A pause binds the router that got the answer.

    :param is_excused: returns whether a router was disrupted between two times
    """
    times = defaultdict(list)
    for receipt in receipts:
        sent = sent_by_request.get(receipt.request)
        if sent is not None:
            times[sent.router, receipt.target].append(receipt.at)
    broken = []
    for pause in pauses:
        sent = sent_by_request.get(pause.request)
        if sent is None:
            continue
        end = pause.at + pause.length_s
        count = sum(
            pause.at + PAUSE_SLACK_S < at < end
            for at in times[sent.router, pause.target]
        )
        if is_excused(sent.router, pause.at, end):
            continue
        if count > ALLOWED_IN_PAUSE:
            broken.append(pause)
    return broken


def tokens_used(runs, begun, prompt_tokens):
    """Return the tokens of all requests that ran, in prompts and answers.

    :param runs: pairs of a request and the number of its events
    :param begun: the requests of which a target has made the first event
    """
    events = sum(events for _, events in runs)
    return prompt_tokens * len(set(begun)) + TOKENS_PER_EVENT * events
