"""An estimate of the prompt parts in a target's prefix cache."""

from collections import OrderedDict

from dandelioncleat.core.cache_update import CacheUpdate
from dandelioncleat.core.direct_request import ModelPrompt

# Parts that were sent count as cached, up to this share of the memory: the
# target's cache events about them arrive later.
MAX_TRACKED_SHARE = 0.9


class HeldParts:
    """Combines a target's cache events with the prompts sent to it.

    Events are late and a few are lost: a part that was sent counts as held
    until an event evicts it or newer parts have replaced it.
    """

    def __init__(self) -> None:
        """Start with an empty cache."""
        self.epoch = ''
        self.position = 0
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._total_tokens = 0

    def take(self, update: CacheUpdate) -> None:
        """Apply the changes that the target reported."""
        if update.epoch != self.epoch:
            if self.epoch:
                self._clear()
            self.epoch = update.epoch
        self.position = update.position
        for part in update.changes:
            self._set(part.id, part.tokens)

    def note_sent(self, prompt: ModelPrompt, *, capacity_tokens: int) -> None:
        """Add the parts of a sent prompt and evict the oldest ones."""
        for part in prompt.parts:
            self._set(part.id, max(part.tokens, self.tokens_of(part.id)))
        while (
            self._total_tokens > MAX_TRACKED_SHARE * capacity_tokens
            and self._tokens_by_part
        ):
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total_tokens -= tokens

    def tokens_of(self, part: str) -> int:
        """Return the cached tokens of a part."""
        return self._tokens_by_part.get(part, 0)

    def unread_tokens(self, prompt: ModelPrompt) -> int:
        """Return the tokens of a prompt after its cached prefix."""
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
