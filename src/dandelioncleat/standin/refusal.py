"""The ways in which a target stand-in declines or breaks a request."""


class StandinError(Exception):
    """Is the base of what stand-ins raise."""


class DownError(StandinError):
    """The target does not take connections; the request did not run."""


class CrashedError(StandinError):
    """The target crashed while it ran the request."""


class FencedError(StandinError):
    """The order carried an old fencing number; it did not run."""

    def __init__(self, number: int) -> None:
        """Take the fencing number in force."""
        self.number = number
        super().__init__(f'the fencing number in force is {number}')


class TooLargeError(StandinError):
    """The request never fits the memory; it did not run."""

    def __init__(self, tokens: int) -> None:
        """Take the tokens that the request needs."""
        super().__init__(f'{tokens} tokens do not fit the memory')
