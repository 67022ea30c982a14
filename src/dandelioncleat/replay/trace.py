"""The lines of recorded traces, and a reader that validates them."""

import gzip
from pathlib import Path
from typing import NamedTuple

from msgspec import UNSET, MsgspecError, Struct, UnsetType
from msgspec.json import Decoder

from dandelioncleat.core.configuration import LogOutagePolicy, ServiceKind
from dandelioncleat.replay._trace_checks import line_errors


class DataCentreLine(Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre; ``one_way_ms`` is its latency to the others."""

    one_way_ms: float


class TargetLine(Struct, frozen=True, forbid_unknown_fields=True):
    """A target and its engine's capacity; the rates are totals."""

    data_centre: str
    service: str
    slots: int
    prefill_tokens_s: float = 0
    decode_tokens_s: float = 0
    kv_tokens: int = 0
    checks_fencing: bool = False


class ServiceLine(Struct, frozen=True, forbid_unknown_fields=True):
    """A service that targets serve."""

    kind: ServiceKind
    price_tokens: int = 0
    service_ms: float = 0
    on_log_outage: LogOutagePolicy = LogOutagePolicy.REFUSE


class OrganisationLine(Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation and the prepaid tokens that it starts with."""

    budget: int


class Line(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field='event',
):
    """The base class of all lines."""


class Deployment(Line, frozen=True, tag='deployment'):
    """The fleet that the trace was recorded on."""

    name: str
    seed: int
    data_centres: dict[str, DataCentreLine]
    routers: dict[str, str]
    targets: dict[str, TargetLine]
    services: dict[str, ServiceLine]
    organisations: dict[str, OrganisationLine]


class Request(Line, frozen=True, tag='request'):
    """A caller's request; a later line with the same key is a retry."""

    at: float
    key: str
    organisation: str
    service: str
    router: str
    idempotent: bool
    prompt_tokens: int = 0
    max_tokens: int = 0
    output_tokens: int = 0
    prefix: str = ''
    priority: int = 0
    deadline_s: float = 60
    poison: bool = False
    body: str = ''


class Fault(Line, frozen=True, tag='fault'):
    """A fault that begins at ``at`` and lasts ``for_s`` seconds."""

    at: float
    kind: str
    of: str | tuple[str, str]
    for_s: float = 0
    by_ms: float = 0
    by_s: float = 0
    share: float = 0
    gap_share: float = 0

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of what the fault affects."""
        return (self.of,) if isinstance(self.of, str) else self.of


class Leave(Line, frozen=True, tag='leave'):
    """A target's host starts to leave."""

    at: float
    target: str


class Stop(Line, frozen=True, tag='stop'):
    """A planned stop of a router."""

    at: float
    router: str


class TopUpLine(Line, frozen=True, tag='top_up'):
    """Tokens added to an organisation's budget."""

    at: float
    organisation: str
    tokens: int


class PatchLine(Line, frozen=True, tag='patch'):
    """A patch that an operator submits at a router."""

    at: float
    id: str
    against: int
    router: str
    patch: dict[str, dict[str, dict[str, object] | None]]


class Expect(Line, frozen=True, tag='expect'):
    """An expected outcome of the trace."""

    measure: str
    at_most: float | UnsetType = UNSET
    at_least: float | UnsetType = UNSET


TimedLine = Request | Fault | Leave | Stop | TopUpLine | PatchLine
TraceLine = Deployment | TimedLine | Expect

_DECODER = Decoder(TraceLine)


class Trace(NamedTuple):
    """A checked trace; its events are in order of time."""

    deployment: Deployment
    events: tuple[TimedLine, ...]
    expectations: tuple[Expect, ...]


class TraceError(Exception):
    """Lists all errors in a trace with their line numbers."""

    def __init__(self, path: str, errors: list[str]) -> None:
        """Keep the errors."""
        super().__init__(f'{path}: {len(errors)} errors')
        self.errors = errors


def read_trace(path: Path) -> Trace:
    """Read a trace, gzipped or not.

    :raises TraceError: with the errors of all invalid lines
    """
    data = path.read_bytes()
    if path.suffix == '.gz':
        data = gzip.decompress(data)
    return parse_trace(data, name=str(path))


def parse_trace(data: bytes, *, name: str) -> Trace:
    """Parse the lines of a trace.

    :raises TraceError: with the errors of all invalid lines
    """
    errors: list[str] = []
    lines = _decode_lines(data, errors)
    if not lines or not isinstance(lines[0][1], Deployment):
        errors.append('line 1: the first line must be a deployment')
        raise TraceError(name, errors)
    deployment = lines[0][1]
    for number, decoded in lines[1:]:
        errors.extend(
            f'line {number}: {text}'
            for text in line_errors(decoded, deployment)
        )
    if errors:
        raise TraceError(name, errors)
    return _new_trace(deployment, [line for _, line in lines[1:]])


def _decode_lines(
    data: bytes,
    errors: list[str],
) -> list[tuple[int, TraceLine]]:
    lines = []
    for number, text in enumerate(data.splitlines(), start=1):
        if not text.strip():
            continue
        try:
            lines.append((number, _DECODER.decode(text)))
        except MsgspecError as error:
            errors.append(f'line {number}: {error}')
    return lines


def _new_trace(deployment: Deployment, lines: list[TraceLine]) -> Trace:
    timed = [
        line for line in lines if not isinstance(line, Deployment | Expect)
    ]
    timed.sort(key=_time_of)
    expectations = tuple(line for line in lines if isinstance(line, Expect))
    return Trace(deployment, tuple(timed), expectations)


def _time_of(line: TimedLine) -> float:
    return line.at
