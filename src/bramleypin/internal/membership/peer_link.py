"""One control link to another process: updates both ways, and requests."""

import dataclasses
import math
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import handlers
from bramleypin.internal.membership import metric_names
from bramleypin.internal.membership import secure_link
from bramleypin.internal.model import configuration
from bramleypin.internal.wire import control

RESUBSCRIBE_INTERVAL_S = 1.0
# Whole shards are asked for less often, because a configuration that this
# process can never accept would otherwise be sent again and again.
WHOLE_INTERVAL_S = 10.0
# A second link of a process without a view waits this long for the first
# one to deliver the view, so that it is not sent twice.
FIRST_VIEW_WAIT_S = 1.0
# Requests that a peer leaves unanswered for this long end the link; a
# network partition would otherwise leave it open.
ANSWER_TIMEOUT_S = 3.0
# A peer that sends nothing for this long is gone: each sends lease requests
# far more often.
IDLE_TIMEOUT_S = 60.0
MAX_PENDING = 8


@dataclasses.dataclass
class _Transfer:
    """Whole shards on their way to this process."""

    manifest: configuration.Manifest
    missing: set[int]
    services_by_shard: dict[int, dict[str, bytes]]


class PeerLink:
    """A link in use; ``sync`` is the service that owns it."""

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        sync: typing.Any,
        secure: secure_link.SecureLink,
        outgoing: bool,
    ):
        self.kernel = kernel
        self.peer = secure.peer
        self.outgoing = outgoing
        self.peer_revision = 0
        self.peer_members = 0
        self.sent_at_by_lease: dict[int, float] = {}
        self._sync = sync
        self._secure = secure
        self._store = kernel.get("view")
        self._members = kernel.get("members")
        self._lease = kernel.get("lease")
        self._metrics = kernel.get("metrics")
        self._subscription: control.Subscribe | None = None
        self._news = anyio.Event()
        self._transfer: _Transfer | None = None
        self._subscribed_at = {False: -math.inf, True: -math.inf}

    async def run(self) -> None:
        """Serve the link until it ends, for whatever reason."""
        async with anyio.create_task_group() as tasks:
            if self.is_peer:
                tasks.start_soon(self._guard, self._push)
            await self._guard(self._receive)
            tasks.cancel_scope.cancel()

    async def _guard(self, part: typing.Callable) -> None:
        try:
            await part()
        except errors.LinkClosed:
            pass
        except errors.InvalidFrame as error:
            self._sync.reject(error.reason, self.peer.id)
        finally:
            with anyio.CancelScope(shield=True):
                await self._secure.aclose()

    @property
    def is_peer(self) -> bool:
        """Tell whether a daemon is at the other end, and not the tool."""
        return self.peer.role != "tool"

    def wake(self) -> None:
        """Let the link look for news for its peer."""
        self._news.set()

    async def aclose(self) -> None:
        """Close the link; ``run`` then returns."""
        await self._secure.aclose()

    async def send(self, message: typing.Any) -> None:
        """Send a message and count its bytes."""
        before = self._secure.sent_bytes
        await self._secure.send(message)
        sent = self._secure.sent_bytes - before
        self._metrics.count(metric_names.SENT_BYTES, sent)

    async def request_lease(self, lease_id: int) -> None:
        """Send a lease request; a link that answers none is closed."""
        now = anyio.current_time()
        oldest = min(self.sent_at_by_lease.values(), default=now)
        if now - oldest > ANSWER_TIMEOUT_S:
            await self.aclose()
            return
        if len(self.sent_at_by_lease) >= MAX_PENDING:
            return
        self.sent_at_by_lease[lease_id] = now
        try:
            await self.send(control.LeaseRequest(lease_id))
        except errors.LinkClosed:
            return

    async def subscribe(self, whole: bool = False) -> None:
        """Tell the peer what this process has, at a bounded rate."""
        now = anyio.current_time()
        interval = WHOLE_INTERVAL_S if whole else RESUBSCRIBE_INTERVAL_S
        if now - self._subscribed_at[whole] < interval:
            return
        self._subscribed_at[whole] = now
        manifest = self._store.view.manifest
        await self.send(
            control.Subscribe(
                manifest.revision,
                manifest.digest_by_shard,
                self._members.version,
                whole,
            )
        )

    async def _push(self) -> None:
        if self._store.view.revision == 0 and self._sync.first_view_asked:
            with anyio.move_on_after(FIRST_VIEW_WAIT_S):
                await self._store.wait_for_change(0)
        self._sync.first_view_asked = True
        await self.subscribe()
        while True:
            self._news = anyio.Event()
            await self._send_news()
            await self._news.wait()

    async def _send_news(self) -> None:
        if self._subscription is None:
            return
        if self.peer_revision < self._store.view.revision:
            await self._send_update()
        same_domain = (
            self.peer.failure_domain == self._members.own.failure_domain
        )
        if same_domain and self.peer_members < self._members.version:
            update = self._members.update_for(self.peer_members)
            self.peer_members = update.version
            await self.send(update)

    async def _send_update(self) -> None:
        subscription = self._subscription
        view = self._store.view
        delta = self._store.delta(self.peer_revision)
        if subscription.whole:
            delta = None
            self._subscription = dataclasses.replace(subscription, whole=False)
        self.peer_revision = view.revision
        manifest = self._store.encoded_manifest()
        if delta is not None and _fits(manifest, delta):
            await self.send(control.Update(manifest, delta))
            return
        theirs = subscription.digest_by_shard
        numbers = {
            number
            for number, digest in view.manifest.digest_by_shard.items()
            if theirs.get(number) != digest
        }
        async with self._sync.transfers:
            await self._send_shards(manifest, view.revision, numbers)

    async def _send_shards(
        self, manifest: bytes, revision: int, numbers: set[int]
    ) -> None:
        by_shard = self._store.shards(numbers)
        await self.send(control.Update(manifest, {}, tuple(sorted(numbers))))
        for number in sorted(numbers):
            services = configuration.encode_shard(by_shard.pop(number))
            await self.send(control.Shard(revision, number, services))

    async def _receive(self) -> None:
        while True:
            message = None
            with anyio.move_on_after(IDLE_TIMEOUT_S):
                message = await self._receive_one()
            if message is None:
                raise errors.LinkClosed(f"{self.peer.id} is silent")
            await self._handle(message)

    async def _receive_one(self) -> typing.Any:
        before = self._secure.received_bytes
        message = await self._secure.receive()
        received = self._secure.received_bytes - before
        self._metrics.count(metric_names.RECEIVED_BYTES, received)
        return message

    async def _handle(self, message: typing.Any) -> None:
        handle = _HANDLE_BY_CLASS.get(type(message))
        if handle is not None:
            await handle(self, message)
        else:
            await self.send(await handlers.answer(self.kernel, message))

    async def _on_subscribe(self, message: control.Subscribe) -> None:
        self._subscription = message
        own = self._store.view.manifest
        if (
            message.revision == own.revision
            and message.digest_by_shard != own.digest_by_shard
        ):
            self._sync.report_conflict(own.revision, self.peer.id)
        self.peer_revision = message.revision
        self.peer_members = message.members_version
        self.wake()

    async def _on_update(self, message: control.Update) -> None:
        manifest = self._decode_manifest(message.manifest)
        if manifest is None:
            return
        if manifest.revision > self.peer_revision:
            self.peer_revision = manifest.revision
        self._transfer = None
        if message.shards:
            missing = set(message.shards)
            self._transfer = _Transfer(manifest, missing, {})
        else:
            await self._offer(manifest, message.changed)

    def _decode_manifest(self, data: bytes) -> configuration.Manifest | None:
        try:
            return configuration.decode(
                data, configuration.Manifest, "manifest"
            )
        except errors.InvalidConfiguration as error:
            self._sync.report_invalid(error, self.peer.id)
            return None

    async def _on_shard(self, message: control.Shard) -> None:
        transfer = self._transfer
        if (
            transfer is None
            or message.revision != transfer.manifest.revision
            or message.number not in transfer.missing
        ):
            raise errors.InvalidFrame("control_unexpected", "Shard")
        transfer.missing.discard(message.number)
        newer = transfer.manifest.revision > self._store.view.revision
        if newer:
            try:
                services = configuration.decode_shard(
                    message.services, f"shard {message.number}"
                )
            except errors.InvalidConfiguration as error:
                self._sync.report_invalid(error, self.peer.id)
                services = {}
            transfer.services_by_shard[message.number] = services
        if not transfer.missing:
            self._transfer = None
            if newer:
                changed = self._store.differences(transfer.services_by_shard)
                await self._offer(transfer.manifest, changed)

    async def _offer(
        self,
        manifest: configuration.Manifest,
        changed: dict[str, bytes | None],
    ) -> None:
        if not self._sync.offer(manifest, changed, self.peer.id):
            await self.subscribe(whole=True)

    async def _on_lease_answer(self, message: control.LeaseAnswer) -> None:
        sent_at = self.sent_at_by_lease.pop(message.id, None)
        if sent_at is None:
            return
        for lease_id, earlier in list(self.sent_at_by_lease.items()):
            # The peer answers in order, so older requests are settled.
            if earlier < sent_at:
                del self.sent_at_by_lease[lease_id]
        if not self._lease.confirm(sent_at, message.revision):
            await self.subscribe()

    async def _on_members(self, message: control.MemberUpdate) -> None:
        if message.version > self.peer_members:
            self.peer_members = message.version
        self._members.apply_update(message)


def _fits(manifest: bytes, delta: dict[str, bytes | None]) -> bool:
    size = len(manifest)
    for name, encoded in delta.items():
        size += len(name) * 4 + 16 + len(encoded or b"")
    return size < control.MAX_MESSAGE_BYTES - 65_536


_HANDLE_BY_CLASS: dict[type, typing.Callable] = {
    control.Subscribe: PeerLink._on_subscribe,
    control.Update: PeerLink._on_update,
    control.Shard: PeerLink._on_shard,
    control.LeaseAnswer: PeerLink._on_lease_answer,
    control.MemberUpdate: PeerLink._on_members,
}
