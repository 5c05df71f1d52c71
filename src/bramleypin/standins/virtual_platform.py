"""An in-memory configuration service with simulated failures.

Unlike ``platform.MemoryPlatform``, it keeps the history of all values, can
fail differently for each reader, and records which values were read.
"""

import collections
import dataclasses
import enum

import anyio

from bramleypin import errors
from bramleypin.internal.net import environment

ANSWER_LATENCY_S = 0.002
# A call fails after this time while the service is down.
FAILURE_LATENCY_S = 1.0


class Mode(enum.Enum):
    """Failure modes of the service; see ``VirtualPlatform``."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"
    OLDER = "older"


@dataclasses.dataclass
class ReplicaView:
    """State of the service as seen by one reader, or by all other readers.

    ``mode`` is the failure mode, and ``limit`` is the highest index whose
    values are visible. Without ``limit``, all values are visible.
    """

    mode: Mode = Mode.UP
    limit: int | None = None


class VirtualPlatform:
    """A key-value store that keeps the history of its values.

    Tests publish values as operators do. In the mode ``stale``, readers get
    the values that were current when ``set_mode`` was called. In the mode
    ``older``, the last ``publish`` before that call is also hidden from them.
    In the mode ``down``, all calls fail.
    """

    def __init__(self):
        self.index = 0
        self.history_by_key: dict[str, list[environment.PlatformValue]] = {}
        self.calls_by_reader: collections.Counter[str] = collections.Counter()
        self.readers_by_index: dict[int, set[str]] = {}
        self._before_last_publish = 0
        self._shared_replica = ReplicaView()
        self._replica_by_reader: dict[str, ReplicaView] = {}
        self._change_event = anyio.Event()
        self._value_read = anyio.Event()

    def publish(self, values: dict[str, bytes]) -> int:
        """Write values with one common index and return the index."""
        self._before_last_publish = self.index
        self.index += 1
        for key, value in values.items():
            entry = environment.PlatformValue(key, self.index, value)
            self.history_by_key.setdefault(key, []).append(entry)
        self._notify()
        return self.index

    def set_mode(self, mode: Mode, reader: str | None = None) -> None:
        """Set the mode for all readers, or for one reader."""
        limit = {
            Mode.STALE: self.index,
            Mode.OLDER: self._before_last_publish,
        }.get(mode)
        replica = ReplicaView(mode, limit)
        if reader is None:
            self._shared_replica = replica
        else:
            self._replica_by_reader[reader] = replica
        self._notify()

    def clear_mode(self, reader: str) -> None:
        """Remove the mode that was set for one reader."""
        self._replica_by_reader.pop(reader, None)
        self._notify()

    def source(self, reader: str) -> "VirtualPlatformSource":
        """Return the read-only client of one process."""
        return VirtualPlatformSource(self, reader)

    def find(self, key: str, reader: str) -> environment.PlatformValue | None:
        """Return the value that is visible to a reader, or ``None``.

        :raises errors.PlatformUnavailable: when the service is down for this
            reader.
        """
        replica = self._replica_by_reader.get(reader, self._shared_replica)
        if replica.mode is Mode.DOWN:
            raise errors.PlatformUnavailable(
                "the platform is down for this reader"
            )
        limit = self.index if replica.limit is None else replica.limit
        visible = [
            entry
            for entry in self.history_by_key.get(key, ())
            if entry.index <= limit
        ]
        if not visible:
            return None
        readers = self.readers_by_index.setdefault(visible[-1].index, set())
        readers.add(reader)
        self._value_read.set()
        self._value_read = anyio.Event()
        return visible[-1]

    def is_visible(self, index: float) -> bool:
        """Return whether the values of an index are visible by default.

        Modes that were set for single readers are not considered.
        """
        replica = self._shared_replica
        limit = self.index if replica.limit is None else replica.limit
        return replica.mode is not Mode.DOWN and limit >= index

    async def wait(self) -> None:
        """Wait for the next change of values or modes."""
        await self._change_event.wait()

    async def wait_for_reader(self) -> None:
        """Wait until any reader gets a value."""
        await self._value_read.wait()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()


class VirtualPlatformSource:
    """One process's client; implements ``environment.PlatformSource``."""

    def __init__(self, platform: VirtualPlatform, reader: str):
        self._platform = platform
        self._reader = reader

    async def read(self, key: str) -> environment.PlatformValue:
        """Read a value that is visible to the reader.

        :raises errors.PlatformKeyMissing: when there is none.
        """
        self._platform.calls_by_reader[self._reader] += 1
        platform_value = await self._find(key)
        if platform_value is None:
            raise errors.PlatformKeyMissing(key)
        await anyio.sleep(ANSWER_LATENCY_S)
        return platform_value

    async def watch(
        self, key: str, last_index: int, wait_s: float
    ) -> environment.PlatformValue | None:
        """Wait until the key's index exceeds ``last_index``.

        Returns ``None`` after ``wait_s`` seconds.
        """
        self._platform.calls_by_reader[self._reader] += 1
        with anyio.move_on_after(wait_s):
            while True:
                platform_value = await self._find(key)
                if (
                    platform_value is not None
                    and platform_value.index > last_index
                ):
                    await anyio.sleep(ANSWER_LATENCY_S)
                    return platform_value
                await self._platform.wait()
        return None

    async def _find(self, key: str) -> environment.PlatformValue | None:
        try:
            return self._platform.find(key, self._reader)
        except errors.PlatformUnavailable:
            await anyio.sleep(FAILURE_LATENCY_S)
            raise
