"""Parses a server-sent event stream to track what was delivered."""

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
MAX_EVENT_BYTES = 1 << 20


class EventStreamParser:
    """Splits a stream into whole events, so that it can be resumed."""

    def __init__(self) -> None:
        """Start before the first event.

        ``unfinished_bytes`` counts what followed the last whole event of the
        answer that ended last.
        """
        self.last_id: str | None = None
        self.events = 0
        self.unfinished_bytes = 0
        self._partial = b''

    def take(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete."""
        text = self._partial + data
        end = text.rfind(EVENT_END)
        if end < 0:
            self._partial = text
            return b''
        end += len(EVENT_END)
        whole = text[:end]
        self._partial = text[end:]
        for event in whole.split(EVENT_END)[:-1]:
            self._note(event)
        return whole

    def finish(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest = self._partial
        self.drop_partial()
        return rest

    def drop_partial(self) -> None:
        """Discard a partial event, as a resumed stream repeats it."""
        self.unfinished_bytes = len(self._partial)
        self._partial = b''

    def _note(self, event: bytes) -> None:
        self.events += 1
        for line in event.split(b'\n'):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
