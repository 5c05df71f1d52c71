"""Distributes changes of the metadata store through a few relays.

Calls to the store are charged, and if every daemon watched the store, each
change would cost as many calls as there are daemons. Instead, a few agents,
the relays, watch the store and send changes to the other daemons, their
followers. A follower does not depend on its relays: as soon as none confirms
that its view is current, it watches the store itself.
"""

import dataclasses
import zlib

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import recent_hosts
from bramleypin.internal.stream import view as view_module
from bramleypin.internal.stream import view_delta

# A change must be in force everywhere within ``bounds.change_s``. The sum of
# these fractions of it is less than 1: a relay's last watch before it loses
# the store, the margin until the relay stops confirming the view, and the
# time until its followers ask again.
WATCH_PART = 1 / 3
MARGIN_PART = 1 / 5
ASK_PART = 1 / 5
# Query intervals after which the last answer of a relay confirms nothing.
SILENT_INTERVALS = 1.7
# Query intervals without a query after which a follower is removed.
GONE_INTERVALS = 4.0
# One in the daemon's own failure domain and one in the next.
RELAYS = 2

DELTAS = metrics.declare(
    "stream.deltas_applied", "counter", "deltas", "Changes told by relays."
)
MISSED = metrics.declare(
    "stream.deltas_missed",
    "counter",
    "deltas",
    "Changes told by relays that did not fit the view.",
)

_log = logs.get("relay")


@frames.message(8)
class Follow(frames.Message):
    """Asks a relay whether the sender's view is current."""

    revision: int

    def view_revision(self) -> int:
        """Return the revision of the sender's view."""
        return self.revision


@frames.message(9)
class Current(frames.Message):
    """A relay's answer: the revision of its view.

    ``sure`` is whether the store has recently confirmed that revision.
    """

    revision: int
    sure: bool

    def view_revision(self) -> int:
        """Return the revision of the sender's view."""
        return self.revision


@dataclasses.dataclass(slots=True)
class _Relay:
    """The latest answer of a relay."""

    revision: int
    sure: bool
    answered_s: float


def relays_of(view: view_module.View, domain: str, own_host: str) -> list[str]:
    """Return the hosts of the agents that a daemon should follow.

    One agent in each failure domain is a relay, chosen by a hash so that all
    daemons choose the same. A daemon follows the relay of its own domain and
    that of the next one. A relay follows no other relay, as its own changes
    would return to it.
    """
    chosen: dict[str, tuple[int, str]] = {}
    for endpoint in view.endpoint_by_id.values():
        if endpoint.draining:
            continue
        candidate = (zlib.crc32(endpoint.host.encode()), endpoint.host)
        at = endpoint.failure_domain
        chosen[at] = min(chosen.get(at, candidate), candidate)
    if any(host == own_host for _, host in chosen.values()):
        return []
    domains = sorted(chosen)
    later = [name for name in domains if name >= domain]
    earlier = [name for name in domains if name < domain]
    hosts = [chosen[name][1] for name in (*later, *earlier)]
    return hosts[:RELAYS]


@kernel_module.service(
    "relay",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "peer_port", "metrics"),
)
class Relay(kernel_module.Service):
    """Follows relays, and acts as a relay for its own followers."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._keeper = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        bound_s = kernel.settings.bounds.change_s
        self._interval_s = bound_s * ASK_PART
        self._sure_s = bound_s * (WATCH_PART + MARGIN_PART)
        self.watch_wait_s = bound_s * WATCH_PART
        self._followers = recent_hosts.RecentHosts(
            GONE_INTERVALS * self._interval_s
        )
        self._relay_by_host: dict[str, _Relay] = {}
        self._confirmed_s = float("-inf")
        self._told = self._keeper.view
        self._doubt = anyio.Event()
        self._peers.on(Follow, self._on_follow)
        self._peers.on(Current, self._on_current)
        self._peers.on(view_delta.Delta, self._on_delta)

    def confirmed(self) -> None:
        """Record that the store has just answered."""
        self._confirmed_s = anyio.current_time()

    def has_followers(self) -> bool:
        """Return whether other daemons use this one as a relay."""
        return bool(self._followers.newest_first())

    def _is_sure(self) -> bool:
        age_s = anyio.current_time() - self._confirmed_s
        return self._keeper.view.loaded and age_s < self._sure_s

    def covered_s(self) -> float:
        """Return for how long relays confirm the view, in seconds.

        The result is 0 when no relay confirms the view, and for daemons with
        followers, which have to watch the store themselves.
        """
        if self.has_followers():
            return 0.0
        now_s = anyio.current_time()
        limit_s = SILENT_INTERVALS * self._interval_s
        known = self._keeper.view
        left_s = (
            relay.answered_s + limit_s - now_s
            for relay in self._relay_by_host.values()
            if relay.sure and relay.revision == known.revision
        )
        return max(0.0, max(left_s, default=0.0))

    async def wait_for_doubt(self) -> None:
        """Wait until no relay confirms that the view is current."""
        while (left_s := self.covered_s()) > 0:
            self._doubt = anyio.Event()
            with anyio.move_on_after(left_s):
                await self._doubt.wait()

    async def run(self) -> None:
        """Query the relays and send changes to followers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell)
            random = self.kernel.environment.random
            while True:
                await anyio.sleep(
                    self._interval_s * (0.8 + 0.4 * random.random())
                )
                self._ask()

    def _ask(self) -> None:
        view = self._keeper.view
        settings = self.kernel.settings
        hosts = relays_of(view, settings.failure_domain, settings.host)
        # Answers of former relays do not cover later changes.
        self._relay_by_host = {
            host: relay
            for host, relay in self._relay_by_host.items()
            if host in hosts
        }
        for host in hosts:
            self._peers.send(host, Follow(view.revision))

    async def _tell(self) -> None:
        while True:
            await self._keeper.wait_for_change()
            old, self._told = self._told, self._keeper.view
            hosts = self._followers.newest_first()
            if not hosts:
                continue
            now_s = anyio.current_time()
            deltas = view_delta.between(old, self._told, now_s)
            for host in hosts:
                for delta in deltas:
                    self._peers.send(host, delta)
                if not deltas:
                    # The change does not fit a frame. The newer revision
                    # makes the followers read the store.
                    self._send_current(host)

    def _send_current(self, host: str) -> None:
        revision = self._keeper.view.revision
        self._peers.send(host, Current(revision, self._is_sure()))

    def _on_follow(self, message: Follow, _: bytes, host: str) -> None:
        if not self.has_followers():
            _log.info("acting as a relay", first=host)
        self._followers.heard(host)
        # A relay must watch the store itself, so stop relying on others.
        self._doubt.set()
        self._send_current(host)

    def _on_current(self, message: Current, _: bytes, host: str) -> None:
        known = self._relay_by_host.get(host)
        if known is None or known.sure != message.sure:
            _log.info(
                "relay state changed",
                host=host,
                sure=message.sure,
                revision=message.revision,
                own=self._keeper.view.revision,
            )
        now_s = anyio.current_time()
        self._relay_by_host[host] = _Relay(
            message.revision, message.sure, now_s
        )
        if message.revision != self._keeper.view.revision or not message.sure:
            self._doubt.set()

    def _on_delta(
        self, message: view_delta.Delta, _: bytes, host: str
    ) -> None:
        relay = self._relay_by_host.get(host)
        if relay is None:
            return
        view = self._keeper.view
        relay.revision = message.revision
        if message.revision <= view.revision and message.base != view.revision:
            # Already received from the other relay or from the store.
            return
        now_s = anyio.current_time()
        changes = view_delta.changes_for(view, message, now_s)
        if changes is None:
            self._metrics.count(MISSED)
            self._doubt.set()
            return
        self._metrics.count(DELTAS)
        self._keeper.apply(changes)
