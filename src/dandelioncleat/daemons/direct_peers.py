"""What a direct router calls gateways with."""

from dandelioncleat.adapters.websocket_peers import WebSocketPeers
from dandelioncleat.daemons.direct_settings import DirectSettings
from dandelioncleat.daemons.incarnation import new_incarnation


def new_peers(settings: DirectSettings) -> WebSocketPeers:
    """Return the calls to other processes of the fleet."""
    return WebSocketPeers(
        incarnation=new_incarnation(settings.host),
        fleet_secret=settings.fleet_secret,
        version=int,
        on_version=_ignore_version,
    )


def _ignore_version(address: str, version: int) -> None:
    """Take no notice: the store alone tells of configurations."""
