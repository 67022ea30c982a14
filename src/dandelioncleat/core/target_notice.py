"""What a target's answers say about further requests to it."""

from typing import NamedTuple


class TargetNotice(NamedTuple):
    """A target's wishes, which may come with any of its answers.

    ``is_leaving`` means that the target stops soon; ``pause_s`` is the time
    for which it wants nothing from this host, in seconds. ``limit_per_s`` is
    how many requests a second it takes from all hosts together;
    ``invalid_limit`` is a limit that can't be read.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    invalid_limit: str | None = None


NO_NOTICE = TargetNotice()
