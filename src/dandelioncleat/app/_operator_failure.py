"""Failures of operations that are reported to operators."""

from dandelioncleat.core.failure import Code, FailureError, failure_error

PEER = 'router'


def no_verdict(step: str, stream: str) -> FailureError:
    """Return the failure of an append whose verdict is unknown."""
    return failure_error(
        Code.LOG,
        step=step,
        peer=stream,
        text='no verdict was read back in time; it is safe to repeat',
    )


def not_found(step: str, name: str) -> FailureError:
    """Return the failure of a look-up by name."""
    text = f'there is no {step} {name}'
    return failure_error(Code.NOT_FOUND, step=step, peer=PEER, text=text)


def conflict(step: str, text: str) -> FailureError:
    """Return the failure of an operation that the state does not permit."""
    return failure_error(Code.CONFLICT, step=step, peer=PEER, text=text)


def invalid(step: str, text: str) -> FailureError:
    """Return the failure of an operation with invalid arguments."""
    return failure_error(Code.INVALID, step=step, peer=PEER, text=text)
