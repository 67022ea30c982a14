"""Judges what routers send to targets by the limits beside that on repeats."""

from collections import defaultdict
from typing import NamedTuple

# A request may run on so many targets; the routes of the soak say so.
MAX_TARGETS = 2
# Targets may be handed this much more time than is left, in seconds.
TIME_SLACK_S = 0.5
# Requests that are under way as a target asks for a pause may still arrive.
PAUSE_SLACK_S = 0.5
ALLOWED_IN_PAUSE = 2
TOKENS_PER_EVENT = 5


class Receipt(NamedTuple):
    """A request as a target got it.

    ``at`` is a monotonic time and ``left_s`` the time that it was given, in
    seconds; ``left_s`` is ``None`` without one.
    """

    at: float
    request: str
    target: str
    left_s: float | None


class Pause(NamedTuple):
    """A target's answer that it wants nothing; times are in seconds."""

    at: float
    request: str
    target: str
    length_s: float


def ran_too_often(runs):
    """Return the requests that ran on more targets than their routes allow.

    :param runs: pairs of a request and a target
    """
    targets_by_request = defaultdict(set)
    for request, target in runs:
        targets_by_request[request].add(target)
    return [
        request
        for request, targets in targets_by_request.items()
        if len(targets) > MAX_TARGETS
    ]


def handed_too_much_time(receipts, sent_by_request):
    """Return the receipts with more time than their callers had left."""
    first_by_request = {}
    wrong = []
    for receipt in sorted(receipts):
        sent = sent_by_request.get(receipt.request)
        if sent is None:
            continue
        first = first_by_request.setdefault(receipt.request, receipt)
        if receipt.left_s is None:
            wrong.append(receipt)
            continue
        own_end = sent.sent_at + sent.kind.limit_s
        ends = max(own_end, first.at + (first.left_s or 0))
        is_repeat = receipt.at > first.at + TIME_SLACK_S
        is_late = (
            is_repeat and receipt.at + receipt.left_s > ends + TIME_SLACK_S
        )
        if is_late or receipt.left_s > sent.kind.limit_s + TIME_SLACK_S:
            wrong.append(receipt)
    return wrong


def sent_in_pauses(receipts, pauses, sent_by_request):
    """Return the pauses in which a router sent more than it may.

    A pause binds the router that got the answer.
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
        if count > ALLOWED_IN_PAUSE:
            broken.append(pause)
    return broken


def tokens_used(runs, prompt_tokens):
    """Return the tokens of all requests that ran, in prompts and answers.

    :param runs: pairs of a request and the number of its events
    """
    events_by_request = defaultdict(int)
    for request, events in runs:
        if events:
            events_by_request[request] += events
    output = TOKENS_PER_EVENT * sum(events_by_request.values())
    return prompt_tokens * len(events_by_request) + output
