"""Detects pauses of this process from overdue timer ticks."""

import math

import anyio

TICK_INTERVAL_S = 0.25

# The process counts as paused if its last tick is older than this.
PAUSE_THRESHOLD_S = 1.0


class PauseDetector:
    """Detects datagrams that may have waited in the buffer during a pause."""

    def __init__(self) -> None:
        self._last_tick_s = math.inf
        self._may_be_buffered = False

    async def run(self) -> None:
        """Record a timer tick every ``TICK_INTERVAL_S`` until cancelled."""
        self._last_tick_s = anyio.current_time()
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self._check_tick()
            self._last_tick_s = anyio.current_time()

    def _check_tick(self) -> None:
        if anyio.current_time() - self._last_tick_s > PAUSE_THRESHOLD_S:
            self._may_be_buffered = True

    def may_have_waited(self) -> bool:
        """Return whether a pause may have delayed the datagram just read."""
        self._check_tick()
        return self._may_be_buffered

    def on_buffer_empty(self) -> None:
        """Record that all datagrams buffered during a pause were read."""
        self._may_be_buffered = False
