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
        self.repeats_events = False
        self._resume_after: str | None = None
        self._partial = b''

    def begin_answer(self, resume_after: str | None) -> None:
        """Expect the events after one, the first event if it is ``None``."""
        self.repeats_events = False
        self._resume_after = resume_after

    def take(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Sets ``repeats_events``, and returns no further events, if an answer
        begins with an event that was delivered before.
        """
        text = self._partial + data
        start = 0
        for event_end in EVENT_END.finditer(text):
            event = text[start : event_end.start()]
            if self._is_repeated(event):
                self.repeats_events = True
                break
            self._note(event)
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

    def _is_repeated(self, event: bytes) -> bool:
        """Return whether the first event of an answer was delivered before."""
        after = self._resume_after
        if after is None:
            return False
        name = _event_id(event)
        if name is None:
            return False
        self._resume_after = None
        if not (name.isdecimal() and after.isdecimal()):
            # Only numbers have an order.
            return name == after
        return _order(name) <= _order(after)

    def _note(self, event: bytes) -> None:
        self.events += 1
        self.last_id = _event_id(event) or self.last_id


def _order(number: str) -> tuple[int, str]:
    """Return what numbers sort by, however many digits they have."""
    digits = number.lstrip('0')
    return len(digits), digits


def _event_id(event: bytes) -> str | None:
    name = None
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            name = line[len(ID_FIELD) :].strip().decode('latin-1')
    return name
