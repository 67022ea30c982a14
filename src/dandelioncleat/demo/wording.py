"""What the demonstration says of answers and verdicts."""

from collections import Counter

from dandelioncleat.demo.caller import Answer
from dandelioncleat.operator.client import Answer as OperatorAnswer


def tally(answers: list[Answer]) -> str:
    """Say how often each outcome was received."""
    counts = Counter(map(_line, answers))
    return ', '.join(f'{counts[text]}x {text}' for text in counts)


def _line(answer: Answer) -> str:
    return ' '.join((answer.question.service, answer_text(answer)))


def answer_text(answer: Answer) -> str:
    """Say how a request ended."""
    reason = f' ({answer.code})' if answer.code else ''
    return f'{answer.outcome}{reason}'


def verdict_text(answer: OperatorAnswer) -> str:
    """Say what became of a patch."""
    if answer.is_success:
        version = answer.document['version']
        return f'accepted as version {version}'
    document = answer.document
    winner = document.get('winner', document)
    return f'{answer.status}, refused; won by {winner}'
