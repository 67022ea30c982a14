"""What one start of a target wants, as its answers said."""

import structlog

from dandelioncleat.core.target_notice import TargetNotice

_logger = structlog.get_logger(__name__)


class TargetWishes:
    """Keeps whether a target leaves, and how long it wants nothing.

    Both hold whatever the target's entry in the store says.
    """

    def __init__(self, target: str) -> None:
        """Start without a wish.

        :param target: id of the target
        """
        self.is_leaving = False
        self._target = target
        self._unwanted_until = float('-inf')

    def pause_s(self, now: float) -> float:
        """Return how long the target still wants nothing, in seconds."""
        return max(float(0), self._unwanted_until - now)

    def apply(self, notice: TargetNotice, now: float) -> None:
        """Apply what an answer of the target says."""
        if notice.is_leaving and not self.is_leaving:
            self.is_leaving = True
            _logger.info('target is leaving', target=self._target)
        if notice.pause_s is None:
            return
        if not self.pause_s(now):
            _logger.info(
                'target asked for a pause',
                target=self._target,
                pause_s=notice.pause_s,
            )
        self._unwanted_until = max(self._unwanted_until, now + notice.pause_s)
