"""Addresses of the form ``ip:port``."""

import re
from ipaddress import AddressValueError, IPv4Address

MAX_PORT = 65535
_PORT = re.compile('[0-9]{1,5}')


def is_address(text: str) -> bool:
    """Return whether a text has a host part and a valid port."""
    ip, _, port = text.rpartition(':')
    if not ip or _PORT.fullmatch(port) is None:
        return False
    return int(port) <= MAX_PORT


def is_dialable(text: str) -> bool:
    """Return whether a text has an IPv4 address and a port to connect to."""
    ip, _, port = text.rpartition(':')
    if not is_address(text) or int(port) == 0:
        return False
    try:
        IPv4Address(ip)
    except AddressValueError:
        return False
    return True
