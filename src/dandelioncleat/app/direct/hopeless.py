"""Finds requests that no target would complete, before anything is sent."""

from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.open_targets import OpenTargets
from dandelioncleat.app.direct.run_context import RunContext
from dandelioncleat.core.direct_request import DirectRefusal, RefusalReason


def hopeless_refusal(
    context: RunContext,
    *,
    quarantine: CrashQuarantine,
    open_targets: OpenTargets,
) -> DirectRefusal | None:
    """Return the refusal of a hopeless request, ``None`` for all others."""
    found = quarantine.find(context.request)
    if found is not None:
        return DirectRefusal(
            RefusalReason.CRASHES_TARGETS, retry_after_s=found.left_s
        )
    return open_targets.busy_refusal(context)
