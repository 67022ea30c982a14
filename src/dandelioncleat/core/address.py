"""Addresses of the form ``ip:port``."""

MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Return whether a text has a host part and a valid port."""
    ip, _, port = text.rpartition(':')
    return bool(ip) and port.isdecimal() and int(port) <= MAX_PORT
