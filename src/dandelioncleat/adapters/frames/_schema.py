"""Loads the Cap'n Proto schema of frames."""

from pathlib import Path
from typing import Any

import capnp

SCHEMA_PATH = Path(__file__).with_name('frames.capnp')

capnp.remove_import_hook()
schema: Any = capnp.load(str(SCHEMA_PATH))
