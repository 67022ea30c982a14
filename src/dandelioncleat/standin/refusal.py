"""Errors with which a stand-in target refuses or aborts a request."""


class StandinError(Exception):
    """Base class of the errors of stand-ins."""


class DownError(StandinError):
    """The target accepts no connections; the request did not run."""


class CrashedError(StandinError):
    """The target crashed during the request."""


class FencedError(StandinError):
    """The fencing number is outdated; the request did not run."""

    def __init__(self, number: int) -> None:
        """Take the current fencing number."""
        self.number = number
        super().__init__(f'the current fencing number is {number}')


class TooLargeError(StandinError):
    """The request exceeds the KV memory; it did not run."""

    def __init__(self, tokens: int) -> None:
        """Take the tokens that the request needs."""
        super().__init__(f'{tokens} tokens exceed the KV memory')
