"""Describes answers and patch verdicts in words."""

from collections import Counter

from dandelioncleat.demo.caller import Answer
from dandelioncleat.operator.client import Answer as OperatorAnswer


def count_outcomes(answers: list[Answer]) -> str:
    """Return how often each outcome was received."""
    counts = Counter(map(_line, answers))
    return ', '.join(f'{counts[text]}x {text}' for text in counts)


def _line(answer: Answer) -> str:
    return ' '.join((answer.request.service, describe_answer(answer)))


def describe_answer(answer: Answer) -> str:
    """Return how a request ended."""
    reason = f' ({answer.code})' if answer.code else ''
    return f'{answer.outcome}{reason}'


def describe_verdict(answer: OperatorAnswer) -> str:
    """Return whether a patch was accepted, and the winner if not."""
    if answer.is_success:
        version = answer.document['version']
        return f'accepted as version {version}'
    document = answer.document
    winner = document.get('winner', document)
    return f'{answer.status}, refused; won by {winner}'
