"""What a target's answers say about further requests to it."""

from typing import NamedTuple


class TargetNotice(NamedTuple):
    """A target's wishes, which may come with any of its answers.

    ``is_leaving`` means that the target stops soon; ``pause_s`` is the time
    for which it wants nothing from this host, in seconds.
    """

    is_leaving: bool = False
    pause_s: float | None = None


NO_NOTICE = TargetNotice()
