"""Requests that a balancer has forwarded and not seen answered.

Only a graceful shutdown needs them. A request whose answer never comes is
forgotten after one to two periods.
"""

import anyio

PERIOD_S = 60.0
REQUESTS_KEPT = 65_536


class Outstanding:
    """Flow keys with tokens, in two generations."""

    def __init__(self) -> None:
        self._current: dict[bytes, None] = {}
        self._previous: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def add(self, request: bytes) -> None:
        """Note a request, named by its flow key and token."""
        self._current[request] = None
        if len(self._current) > REQUESTS_KEPT:
            self.rotate()

    def remove(self, request: bytes) -> None:
        """Note that a request has been answered."""
        self._current.pop(request, None)
        self._previous.pop(request, None)

    def rotate(self) -> None:
        """Forget the older generation."""
        self._previous = self._current
        self._current = {}

    async def run(self) -> None:
        """Rotate once a period."""
        while True:
            await anyio.sleep(PERIOD_S)
            self.rotate()
