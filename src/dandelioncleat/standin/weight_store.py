"""A weight store with a shared download rate."""

import asyncio


class WeightStore:
    """Serves downloads one after the other at a limited rate.

    :param bytes_s: total rate in bytes per second
    """

    def __init__(
        self,
        *,
        bytes_s: float,
        sizes_by_name: dict[str, int],
    ) -> None:
        """Take the sizes of all weights in bytes."""
        self.downloads = 0
        self._bytes_s = bytes_s
        self._sizes_by_name = sizes_by_name
        self._free_at: float = 0

    async def fetch(self, name: str) -> int:
        """Wait until a download is done and return its size in bytes.

        Raises ``KeyError`` for an unknown name.
        """
        size = self._sizes_by_name[name]
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + size / self._bytes_s
        await asyncio.sleep(self._free_at - now)
        self.downloads += 1
        return size
