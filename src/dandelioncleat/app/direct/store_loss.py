"""Notes for one topic whether the store answers."""

import structlog

_logger = structlog.get_logger(__name__)


class StoreLoss:
    """Whether the last call for a topic failed."""

    def __init__(self, topic: str) -> None:
        """Initialise for a store that answers."""
        self.is_lost = False
        self._topic = topic

    def begin(self, error: Exception, *, age_s: float | None) -> None:
        """Note that a call failed.

        :param age_s: age of what is known of the topic, in seconds
        """
        if self.is_lost:
            return
        self.is_lost = True
        _logger.warning(
            'store lost',
            topic=self._topic,
            reason=str(error) or type(error).__name__,
            age_s=age_s,
        )

    def end(self) -> None:
        """Note that a call was answered."""
        if self.is_lost:
            self.is_lost = False
            _logger.info('store regained', topic=self._topic)
