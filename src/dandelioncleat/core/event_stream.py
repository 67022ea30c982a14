"""Parses a server-sent event stream to track what was delivered."""

import re

# Lines may end with LF, CR LF or CR; an empty line ends an event.
EVENT_END = re.compile(rb'\n\n|\r\n\r\n|\r\r')
LINE_ENDS = b'\r\n'
ID_FIELD = b'id:'
# A faulty target may send an endless event.
MAX_EVENT_BYTES = 1024 * 1024


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
        start = 0
        for event_end in EVENT_END.finditer(text):
            self._note(text[start : event_end.start()])
            start = event_end.end()
        self._partial = text[start:]
        return text[:start]

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not whole yet."""
        return bool(self._partial.strip(LINE_ENDS))

    @property
    def exceeds_limit(self) -> bool:
        """Return whether an event is longer than ``MAX_EVENT_BYTES``."""
        return len(self._partial) > MAX_EVENT_BYTES

    def finish(self) -> bytes:
        """Return the line ends after the last event of a complete stream."""
        rest = self._partial
        self.drop_partial()
        return rest

    def drop_partial(self) -> None:
        """Discard a partial event, as a resumed stream repeats it."""
        self.unfinished_bytes = len(self._partial)
        self._partial = b''

    def _note(self, event: bytes) -> None:
        self.events += 1
        for line in event.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
