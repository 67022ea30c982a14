"""Creates the client with which a direct router calls gateways."""

from dandelioncleat.adapters.websocket_peers import WebSocketPeers
from dandelioncleat.daemons.direct_settings import DirectSettings
from dandelioncleat.daemons.incarnation import new_incarnation


def new_peers(settings: DirectSettings) -> WebSocketPeers:
    """Return a client for the other processes of the fleet."""
    return WebSocketPeers(
        incarnation=new_incarnation(settings.host),
        fleet_secret=settings.fleet_secret,
        version=int,
        on_version=_ignore_version,
    )


def _ignore_version(address: str, version: int) -> None:
    """Do nothing: configurations come from the store only."""
