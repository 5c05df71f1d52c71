"""A periodic timer that is idle while there is nothing to check."""

import collections.abc

import anyio


class Ticker:
    """Wakes a task that checks a collection of entries with deadlines."""

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._entry_added = anyio.Event()

    def wake(self) -> None:
        """Restart the ticks after an entry was added to the collection."""
        self._entry_added.set()

    async def wait(self, entries: collections.abc.Sized) -> float:
        """Wait for the next tick; return the measured interval in seconds.

        Blocks while the collection is empty. An interval much longer than
        requested means that the process was stalled.
        """
        if not entries:
            self._entry_added = anyio.Event()
            await self._entry_added.wait()
        started_s = anyio.current_time()
        await anyio.sleep(self._interval_s)
        return anyio.current_time() - started_s
