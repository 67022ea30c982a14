"""A folder as of a checkout that was just built."""

import os
import sys
import tempfile
from pathlib import Path

import tests.soak  # noqa: F401  (finds the stand-ins of the review)

import fleet as fleets  # isort: skip

CHECKOUT = Path(__file__).resolve().parents[2]


def built_programs(case):
    """Let the fleets of a test case run this checkout's programs.

    Returns the folder.
    """
    folder = tempfile.TemporaryDirectory(prefix='programs-')
    case.addCleanup(folder.cleanup)
    programs = Path(folder.name)
    (programs / 'target').mkdir()
    (programs / 'target/deps').symlink_to(CHECKOUT / 'src')
    (programs / 'deploy').symlink_to(CHECKOUT / 'deploy')
    case.patch(fleets, 'ROOT', programs)
    path = f'{Path(sys.executable).parent}:{os.environ["PATH"]}'
    case.patch(os, 'environ', {**os.environ, 'PATH': path})
    return programs
