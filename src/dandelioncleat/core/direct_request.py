"""Requests to a direct router, and their responses."""

from enum import StrEnum
from typing import NamedTuple

from xxhash import xxh64_hexdigest

Headers = tuple[tuple[str, str], ...]
FIRST_ERROR_STATUS = 400


class PromptPart(NamedTuple):
    """A part of a prompt; parts with the same ``id`` are identical."""

    id: str
    tokens: int


class ModelPrompt(NamedTuple):
    """The prompt that a request declares.

    ``output_tokens`` is the maximum number of generated tokens.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def max_total_tokens(self) -> int:
        """Return the maximum of input and output tokens together."""
        return self.input_tokens + self.output_tokens


class DirectRequest(NamedTuple):
    """One attempt of a caller.

    ``path`` includes the query. ``headers`` are those that are forwarded
    unchanged. ``is_forwarded`` means that another router sent the request.
    ``earlier_arrivals`` is how often routers that refused it before have sent
    it to targets, ``None`` if no router has counted it yet.
    ``sender_version`` is the version of the configuration at the router that
    forwarded the request, ``None`` if that is not known.
    ``wait_s`` is how long the caller waits, if it states that;
    ``resume_after`` is the last event that a resuming caller received,
    ``resumed_request`` the id of its attempt that began the stream.
    """

    id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str | None = None
    wait_s: float | None = None
    prompt: ModelPrompt | None = None
    resume_after: str | None = None
    is_forwarded: bool = False
    resumed_request: str | None = None
    earlier_arrivals: int | None = None
    sender_version: int | None = None

    @property
    def digest(self) -> str:
        """Return a digest that is equal for retries of the request."""
        parts = (self.path.encode(), (self.key or '').encode(), self.body)
        return xxh64_hexdigest(b'\0'.join(parts))


class RefusalReason(StrEnum):
    """Why a request ends without a target's response."""

    NO_CONFIGURATION = 'no_configuration'
    CONFIGURATION_UNCONFIRMED = 'configuration_unconfirmed'
    """A newer version may allow what this router's version does not."""
    CONFIGURATION_BEHIND = 'configuration_behind'
    """The router that forwarded the request has a newer version."""
    CONFIGURATION_AHEAD = 'configuration_ahead'
    """The router that forwarded the request has an older version."""
    NO_ROUTE = 'no_route'
    BAD_KEY = 'bad_key'
    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    NO_MEMORY = 'no_memory'
    """The process can't keep the body beside those of other requests."""
    BODY_LATE = 'body_late'
    """No more of a body has come for as long as a connection may be idle."""
    PREPAID_SPENT = 'prepaid_spent'
    NO_TOKENS_HERE = 'no_tokens_here'
    BALANCE_UNPROVEN = 'balance_unproven'
    NO_TARGET = 'no_target'
    NO_ROOM = 'no_room'
    TARGETS_PAUSED = 'targets_paused'
    TARGETS_LIMITED = 'targets_limited'
    TARGETS_EVACUATED = 'targets_evacuated'
    CRASHES_TARGETS = 'crashes_targets'
    NOT_IN_TIME = 'not_in_time'
    ANSWER_LOST = 'answer_lost'
    STOPPING = 'stopping'
    STREAM_UNKNOWN = 'stream_unknown'
    VERSION_GONE = 'version_gone'


class DirectRefusal(NamedTuple):
    """Ends a request without a target's response.

    ``has_run`` is false only if no target has run or will run the request.
    ``arrivals`` tells the router that forwarded the request how often it has
    been sent to targets, ``None`` if it was not counted.
    """

    reason: RefusalReason
    has_run: bool = False
    retry_after_s: float | None = None
    arrivals: int | None = None


class ResponseHead(NamedTuple):
    """The status and headers of a target's response.

    ``is_close_delimited`` means that the body has neither a length nor chunks
    and ends with the connection. ``target_start`` is the start of the target
    that answered, ``None`` if a router did not tell.
    """

    status: int
    reason: str
    headers: Headers
    is_close_delimited: bool = False
    target_start: str | None = None

    @property
    def is_error(self) -> bool:
        """Return whether the status is that of an error."""
        return self.status >= FIRST_ERROR_STATUS


class CompleteResponse(NamedTuple):
    """The complete response of a target."""

    head: ResponseHead
    body: bytes
