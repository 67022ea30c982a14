"""The prompt parts that a target is believed to hold."""

from collections import OrderedDict

from dandelioncleat.core.cache_update import CacheUpdate
from dandelioncleat.core.direct_request import ModelPrompt

# Own requests are believed until events about them should have come.
MAX_TRACKED_SHARE = 0.9


class HeldParts:
    """Joins what a target told with what was sent to it.

    Events come late, and a few never: a part that was sent is held until
    the target says otherwise or newer ones have taken its room.
    """

    def __init__(self) -> None:
        """Start with a target that holds nothing."""
        self.epoch = ''
        self.position = 0
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._total_tokens = 0

    def take(self, update: CacheUpdate) -> None:
        """Take what the target told."""
        if update.epoch != self.epoch:
            if self.epoch:
                self._clear()
            self.epoch = update.epoch
        self.position = update.position
        for part in update.changes:
            self._set(part.id, part.tokens)

    def note_sent(self, prompt: ModelPrompt, *, capacity_tokens: int) -> None:
        """Note that a prompt is sent; the oldest parts make room for it."""
        for part in prompt.parts:
            self._set(part.id, max(part.tokens, self.tokens_of(part.id)))
        while (
            self._total_tokens > MAX_TRACKED_SHARE * capacity_tokens
            and self._tokens_by_part
        ):
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total_tokens -= tokens

    def tokens_of(self, part: str) -> int:
        """Return the tokens of a part that are held."""
        return self._tokens_by_part.get(part, 0)

    def unread_tokens(self, prompt: ModelPrompt) -> int:
        """Return the tokens of a prompt after the beginning that is held."""
        unread = prompt.input_tokens
        for part in prompt.parts:
            held = min(part.tokens, self.tokens_of(part.id))
            unread -= held
            if held < part.tokens:
                break
        return max(0, unread)

    def _set(self, part: str, tokens: int) -> None:
        self._total_tokens -= self._tokens_by_part.pop(part, 0)
        if tokens > 0:
            self._tokens_by_part[part] = tokens
            self._total_tokens += tokens

    def _clear(self) -> None:
        self._tokens_by_part.clear()
        self._total_tokens = 0
