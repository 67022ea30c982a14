"""What requests need to be served."""

from typing import NamedTuple

from dandelioncleat.app.direct.admission import Admission
from dandelioncleat.app.direct.crash_quarantine import CrashQuarantine
from dandelioncleat.app.direct.forwarding import Forwarding
from dandelioncleat.app.direct.open_targets import OpenTargets
from dandelioncleat.app.direct.placement import Placement
from dandelioncleat.app.direct.retry_budget import RetryBudget
from dandelioncleat.app.direct.stream_origins import StreamOrigins
from dandelioncleat.app.direct.target_limits import TargetLimits
from dandelioncleat.app.direct.wallet import Wallet
from dandelioncleat.core.held_bytes import DEFAULT_MEMORY_MB, HeldBytes
from dandelioncleat.ports.direct_target import DirectTargets
from dandelioncleat.ports.telemetry import Telemetry


class ServingParts(NamedTuple):
    """What requests need to be served."""

    admission: Admission
    wallet: Wallet
    placement: Placement
    open_targets: OpenTargets
    retries: RetryBudget
    targets: DirectTargets
    forwarding: Forwarding
    quarantine: CrashQuarantine
    origins: StreamOrigins
    limits: TargetLimits
    telemetry: Telemetry
    answer_bytes: HeldBytes = HeldBytes(DEFAULT_MEMORY_MB)
    hedge_share: float = 0
