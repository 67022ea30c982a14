"""A randomised soak of the deploy file's programs as real processes.

It uses the stand-ins of ``review/lib`` on loopback, and checks what callers
and targets see while processes are stopped, killed and started, targets fail
and the store is silent.
"""

import sys
from pathlib import Path

# The stand-ins of the review are scripts, not a package.
sys.path.insert(0, str(Path(__file__).resolve().parents[2] / 'review' / 'lib'))
