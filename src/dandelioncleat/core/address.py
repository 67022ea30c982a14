"""Addresses of the form ``ip:port``."""

LAST_PORT = 65535


def is_address(text: str) -> bool:
    """Return whether a text has an IP number and a port."""
    ip, _, port = text.rpartition(':')
    return bool(ip) and port.isdecimal() and int(port) <= LAST_PORT
