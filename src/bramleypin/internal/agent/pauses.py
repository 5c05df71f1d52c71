"""Notices that this process was paused, by a tick that is overdue."""

import math

import anyio

TICK_S = 0.25
PAUSE_S = 1.0


class Pauses:
    """Tells whether the port's buffer may hold datagrams of a pause."""

    def __init__(self) -> None:
        self._ticked_s = math.inf
        self._buffered = False

    async def run(self) -> None:
        """Tick until cancelled."""
        self._ticked_s = anyio.current_time()
        while True:
            await anyio.sleep(TICK_S)
            self._look()
            self._ticked_s = anyio.current_time()

    def _look(self) -> None:
        if anyio.current_time() - self._ticked_s > PAUSE_S:
            self._buffered = True

    def was_paused(self) -> bool:
        """Tell whether what was just read may have waited during a pause."""
        self._look()
        return self._buffered

    def buffer_is_empty(self) -> None:
        """Note that all that arrived during a pause has been read."""
        self._buffered = False
