"""Writes the pinned dependencies of the direct router.

They are the packages of ``requirements.lock`` that its imports need.
"""

import re
from importlib.metadata import requires
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).parent.parent
OUTPUT = ROOT / 'deploy' / 'requirements.txt'
IMPORTED = (
    'aiohttp',
    'msgspec',
    'opentelemetry-api',
    'opentelemetry-exporter-prometheus',
    'opentelemetry-sdk',
    'pycapnp',
    'returns',
    'structlog',
    'transitions',
    'xxhash',
)
PIN = re.compile(r'^([A-Za-z0-9._-]+)==(\S+)$', re.MULTILINE)


def locked_versions() -> dict[str, str]:
    """Return the locked version of each package."""
    text = (ROOT / 'requirements.lock').read_text()
    return {canonicalize_name(name): pin for name, pin in PIN.findall(text)}


def needed_packages() -> set[str]:
    """Return the imported libraries and their dependencies."""
    found: set[str] = set()
    waiting = [canonicalize_name(name) for name in IMPORTED]
    while waiting:
        name = waiting.pop()
        if name in found:
            continue
        found.add(name)
        for line in requires(name) or ():
            requirement = Requirement(line)
            marker = requirement.marker
            if marker is None or marker.evaluate({'extra': ''}):
                waiting.append(canonicalize_name(requirement.name))
    return found


def requirements_text() -> str:
    """Return the pinned packages, one per line."""
    pins = locked_versions()
    lines = [f'{name}=={pins[name]}' for name in sorted(needed_packages())]
    return '\n'.join((*lines, ''))


if __name__ == '__main__':
    OUTPUT.write_text(requirements_text())
