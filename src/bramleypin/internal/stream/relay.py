"""Distributes changes of the metadata store through a few relays.

Calls to the store are charged, and if every daemon watched the store, each
change would cost as many calls as there are daemons. Instead, a few agents,
the relays, watch the store and send changes to the other daemons, their
followers. A follower does not depend on its relays: as soon as none confirms
that its view is current, it watches the store itself.
"""

import dataclasses
import typing
import zlib

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import recent_hosts
from bramleypin.internal.stream import view as view_module
from bramleypin.internal.stream import view_delta

# Fractions of ``bounds.change_s``, within which a change must be in force at
# every daemon. When a relay loses the store, three periods add up: its last
# watch, the margin until it stops confirming its view, and the interval until
# its followers query it again. The sum of their fractions is less than 1.
WATCH_FRACTION = 1 / 3
MARGIN_FRACTION = 1 / 5
QUERY_FRACTION = 1 / 5
# Number of query intervals for which a relay's answer confirms a view.
ANSWER_VALID_INTERVALS = 1.7
# A follower that has sent no query for this many query intervals is removed.
FOLLOWER_INTERVALS = 4.0
# One relay in the daemon's own failure domain and one in the next.
MAX_RELAYS = 2

DELTAS_APPLIED = metrics.declare(
    "stream.deltas_applied", "counter", "deltas", "Changes told by relays."
)
DELTAS_MISSED = metrics.declare(
    "stream.deltas_missed",
    "counter",
    "deltas",
    "Changes told by relays that did not fit the view.",
)

_log = logs.get("relay")


@frames.message(8)
class RelayQuery(frames.Message):
    """Asks a relay whether the sender's view is current."""

    revision: int
    era: frames.Era = 0

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.era, self.revision


@frames.message(9)
class RelayAnswer(frames.Message):
    """A relay's answer: the revision and era of its view.

    ``confirmed`` is true if the store has recently confirmed that revision.
    """

    revision: int
    confirmed: bool
    era: frames.Era = 0

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.era, self.revision


@dataclasses.dataclass(slots=True)
class _RelayState:
    """The latest answer of a relay."""

    stamp: tuple[int, int]
    confirmed: bool
    answered_s: float


def relays_for(
    view: view_module.View, domain: str, own_host: str
) -> list[str]:
    """Return the hosts of the agents that a daemon should follow.

    One agent in each failure domain is a relay, chosen by a hash so that all
    daemons choose the same. A daemon follows the relay of its own domain and
    that of the next one, in the order of their names. A relay follows no
    other relay, because the changes that it sends would return to it. A host
    whose service the configuration does not name may have no agent.
    """
    relay_by_domain: dict[str, tuple[int, str]] = {}
    service_by_name = view.configuration.service_by_name
    for endpoint in view.endpoint_by_id.values():
        if endpoint.draining or endpoint.service not in service_by_name:
            continue
        candidate = (zlib.crc32(endpoint.host.encode()), endpoint.host)
        failure_domain = endpoint.failure_domain
        relay_by_domain[failure_domain] = min(
            relay_by_domain.get(failure_domain, candidate), candidate
        )
    if any(host == own_host for _, host in relay_by_domain.values()):
        return []
    domains = sorted(relay_by_domain)
    later = [name for name in domains if name >= domain]
    earlier = [name for name in domains if name < domain]
    hosts = [relay_by_domain[name][1] for name in (*later, *earlier)]
    return hosts[:MAX_RELAYS]


@kernel_module.service(
    "relay",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "peer_port", "metrics"),
)
class Relay(kernel_module.Service):
    """Follows relays, and acts as a relay for its own followers."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        bound_s = kernel.settings.bounds.change_s
        self._query_interval_s = bound_s * QUERY_FRACTION
        self._confirmation_s = bound_s * (WATCH_FRACTION + MARGIN_FRACTION)
        self.watch_wait_s = bound_s * WATCH_FRACTION
        self._followers = recent_hosts.RecentHosts(
            FOLLOWER_INTERVALS * self._query_interval_s
        )
        self._relay_by_host: dict[str, _RelayState] = {}
        self._store_answered_s = float("-inf")
        self._unconfirmed_s = anyio.current_time()
        self._announced_view = self._view_manager.view
        self._announced_lapsed_ids: frozenset[str] = frozenset()
        self._confirmation_changed = anyio.Event()
        self._peers.set_handler(RelayQuery, self._on_query)
        self._peers.set_handler(RelayAnswer, self._on_answer)
        self._peers.set_handler(view_delta.ViewDelta, self._on_delta)

    def record_store_answer(self) -> None:
        """Record that the store has just answered."""
        self._store_answered_s = anyio.current_time()

    def has_followers(self) -> bool:
        """Return whether other daemons use this one as a relay."""
        return bool(self._followers.newest_first())

    def _is_view_confirmed(self) -> bool:
        age_s = anyio.current_time() - self._store_answered_s
        view = self._view_manager.view
        is_era_current = self._peers.newest[0] <= view.era
        return view.loaded and is_era_current and age_s < self._confirmation_s

    def confirmed_for_s(self) -> float:
        """Return the remaining time for which relays confirm the view.

        The result is in seconds. It is 0 if no relay confirms the view, if
        another daemon has announced a newer era of the store, and for daemons
        with followers, which have to watch the store themselves.
        """
        view = self._view_manager.view
        if self.has_followers() or self._peers.newest[0] > view.era:
            return 0.0
        now_s = anyio.current_time()
        valid_s = ANSWER_VALID_INTERVALS * self._query_interval_s
        left_s = (
            relay.answered_s + valid_s - now_s
            for relay in self._relay_by_host.values()
            if relay.confirmed and relay.stamp == view.stamp
        )
        return max(0.0, max(left_s, default=0.0))

    def last_unconfirmed_s(self) -> float:
        """Return when the view was last unconfirmed, or a relay said so."""
        if self.confirmed_for_s() <= 0:
            self._unconfirmed_s = anyio.current_time()
        return self._unconfirmed_s

    def check_confirmation(self) -> None:
        """Let ``wait_until_unconfirmed`` check again."""
        self._confirmation_changed.set()

    async def wait_until_unconfirmed(self) -> None:
        """Wait until no relay confirms that the view is current."""
        while (left_s := self.confirmed_for_s()) > 0:
            self._confirmation_changed = anyio.Event()
            with anyio.move_on_after(left_s):
                await self._confirmation_changed.wait()

    async def run(self) -> None:
        """Query the relays and send changes to followers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_changes)
            random = self.kernel.environment.random
            while not self._view_manager.view.endpoint_by_id:
                await self._view_manager.wait_for_change()
            while True:
                guard.call(self._metrics, self._query_relays)
                await anyio.sleep(
                    self._query_interval_s * (0.8 + 0.4 * random.random())
                )

    def _query_relays(self) -> None:
        view = self._view_manager.view
        settings = self.kernel.settings
        hosts = relays_for(view, settings.failure_domain, settings.host)
        # A former relay's answer is removed: it does not cover later changes.
        self._relay_by_host = {
            host: relay
            for host, relay in self._relay_by_host.items()
            if host in hosts
        }
        for host in hosts:
            self._peers.send(host, RelayQuery(view.revision, view.era))

    async def _announce_changes(self) -> None:
        while True:
            await self._view_manager.wait_for_change()
            old, self._announced_view = (
                self._announced_view,
                self._view_manager.view,
            )
            old_lapsed_ids, self._announced_lapsed_ids = (
                self._announced_lapsed_ids,
                frozenset(self._view_manager.lapsed_ids()),
            )
            lapsed_ids = sorted(self._announced_lapsed_ids - old_lapsed_ids)
            guard.call(self._metrics, self._announce_change, old, lapsed_ids)

    def _announce_change(
        self, old: view_module.View, lapsed_ids: list[str]
    ) -> None:
        hosts = self._followers.newest_first()
        if not hosts:
            return
        now_s = anyio.current_time()
        deltas = view_delta.deltas_between(
            old, self._announced_view, now_s, lapsed_ids
        )
        for delta in deltas:
            self._peers.send_to_all(hosts, delta)
        if not deltas:
            # The change does not fit into a frame, or begins a new era. Send
            # only the new revision, so that the followers read the store.
            self._send_answer(hosts)

    def _send_answer(self, hosts: typing.Iterable[str]) -> None:
        view = self._view_manager.view
        self._peers.send_to_all(
            hosts,
            RelayAnswer(view.revision, self._is_view_confirmed(), view.era),
        )

    def _on_query(self, message: RelayQuery, _: bytes, host: str) -> None:
        if not self.has_followers():
            _log.info("acting as a relay", first=host)
        self._followers.record(host)
        # This daemon is now a relay and must watch the store itself.
        self._confirmation_changed.set()
        self._send_answer((host,))

    def _on_answer(self, message: RelayAnswer, _: bytes, host: str) -> None:
        relay = self._relay_by_host.get(host)
        if relay is None or relay.confirmed != message.confirmed:
            _log.info(
                "relay state changed",
                host=host,
                sure=message.confirmed,
                revision=message.revision,
                own=self._view_manager.view.revision,
            )
        now_s = anyio.current_time()
        if not message.confirmed:
            self._unconfirmed_s = now_s
        self._relay_by_host[host] = _RelayState(
            message.view_stamp(), message.confirmed, now_s
        )
        if (
            message.view_stamp() != self._view_manager.view.stamp
            or not message.confirmed
        ):
            self._confirmation_changed.set()

    def _on_delta(
        self, message: view_delta.ViewDelta, _: bytes, host: str
    ) -> None:
        relay = self._relay_by_host.get(host)
        if relay is None:
            return
        view = self._view_manager.view
        relay.stamp = message.view_stamp()
        base = (message.era, message.base)
        if relay.stamp <= view.stamp and base != view.stamp:
            # Already received from the other relay or from the store.
            self._confirmation_changed.set()
            return
        now_s = anyio.current_time()
        changes = view_delta.changes_from_delta(view, message, now_s)
        if changes is None:
            self._metrics.count(DELTAS_MISSED)
            self._confirmation_changed.set()
            return
        self._metrics.count(DELTAS_APPLIED)
        self._view_manager.apply(changes)
