"""The components of a router that serve requests."""

import random
from typing import NamedTuple

from dandelioncleat.app.budgets import Budgets
from dandelioncleat.app.configuration import ConfigurationKeeper
from dandelioncleat.app.home_finder import HomeFinder
from dandelioncleat.app.load_watch import LoadWatch
from dandelioncleat.app.placement_queue import PlacementQueue
from dandelioncleat.app.settlement import Settlement
from dandelioncleat.core.identity import Incarnation
from dandelioncleat.core.retry import RetryBudget
from dandelioncleat.ports.peer import Peers
from dandelioncleat.ports.telemetry import Telemetry


class RequestParts(NamedTuple):
    """The components of one router that serve requests."""

    incarnation: Incarnation
    peers: Peers
    budgets: Budgets
    configuration: ConfigurationKeeper
    watch: LoadWatch
    placement: PlacementQueue
    homes: HomeFinder
    settlement: Settlement
    retries: RetryBudget
    telemetry: Telemetry
    random: random.Random
