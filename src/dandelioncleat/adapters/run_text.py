"""Run ids as text, for HTTP headers and paths."""

from urllib.parse import quote, unquote

from dandelioncleat.core.identity import Incarnation, RunId

SEPARATOR = '!'


def run_text(run: RunId) -> str:
    """Return a run id as text that is safe in a path and a header."""
    parts = (run.organisation, run.key, run.home, str(run.attempt))
    return SEPARATOR.join(quote(part, safe='') for part in parts)


def parse_run(text: str) -> RunId:
    """Return the run id of a text; raise ``ValueError`` if malformed."""
    organisation, key, home, attempt = (
        unquote(part) for part in text.split(SEPARATOR)
    )
    return RunId(organisation, key, Incarnation(home), int(attempt))
