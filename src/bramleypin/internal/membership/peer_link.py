"""Control links that carry updates and requests in both directions."""

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

# Minimum interval between two subscriptions on a link.
RESUBSCRIBE_INTERVAL_S = 1.0
# Minimum interval between subscriptions that request whole shards. They are
# rarer, because a peer would otherwise keep resending a configuration that
# this process rejects every time.
WHOLE_SHARDS_INTERVAL_S = 10.0
# While a process has no view, only its first link subscribes at once. The
# others wait up to this long for the view, so that it is not sent twice.
FIRST_VIEW_WAIT_S = 1.0
# Bytes below the message limit that an update must leave free.
MESSAGE_MARGIN_BYTES = 65_536
# The link is closed when a lease request stays unanswered for this long; a
# network partition would otherwise leave it open.
ANSWER_TIMEOUT_S = 3.0
# The link is closed when nothing arrives for this long; a live peer sends
# lease requests far more often.
IDLE_TIMEOUT_S = 60.0
MAX_PENDING_LEASE_REQUESTS = 8


@dataclasses.dataclass
class _ShardTransfer:
    """An incoming transfer of whole shards.

    ``missing`` holds the numbers of the shards that have not arrived yet.
    """

    manifest: configuration.Manifest
    missing: set[int]
    services_by_shard: dict[int, dict[str, bytes]]


class PeerLink:
    """Exchanges updates and requests with one peer.

    ``sync`` is the service that owns the link.
    """

    def __init__(
        self,
        kernel: kernel_module.Kernel,
        sync: typing.Any,
        auth_link: secure_link.AuthenticatedLink,
        outgoing: bool,
    ):
        self.kernel = kernel
        self.peer = auth_link.peer
        self.outgoing = outgoing
        self.peer_revision = 0
        self.peer_members_version = 0
        self.sent_at_by_lease: dict[int, float] = {}
        self._sync = sync
        self._auth_link = auth_link
        self._view_store = kernel.get("view")
        self._members = kernel.get("members")
        self._lease = kernel.get("lease")
        self._metrics = kernel.get("metrics")
        self._subscription: control.Subscribe | None = None
        self._update_available = anyio.Event()
        self._transfer: _ShardTransfer | None = None
        self._subscribed_at_by_whole = {False: -math.inf, True: -math.inf}

    async def run(self) -> None:
        """Serve the link until it is closed or fails."""
        async with anyio.create_task_group() as tasks:
            if self.is_peer:
                tasks.start_soon(self._run_until_closed, self._push_updates)
            await self._run_until_closed(self._receive)
            tasks.cancel_scope.cancel()

    async def _run_until_closed(self, loop: typing.Callable) -> None:
        """Run one loop of the link; close the link when the loop ends."""
        try:
            await loop()
        except errors.LinkClosed:
            pass
        except errors.InvalidFrame as error:
            self._sync.record_rejection(error.reason, self.peer.id)
        finally:
            with anyio.CancelScope(shield=True):
                await self._auth_link.aclose()

    @property
    def is_peer(self) -> bool:
        """Return whether the peer is a daemon, not the command-line tool."""
        return self.peer.role != "tool"

    def notify(self) -> None:
        """Wake the task that sends updates to the peer."""
        self._update_available.set()

    async def aclose(self) -> None:
        """Close the link; ``run`` then returns."""
        await self._auth_link.aclose()

    async def send(self, message: typing.Any) -> None:
        """Send a message and add its size to the sent-bytes metric."""
        bytes_before = self._auth_link.sent_bytes
        await self._auth_link.send(message)
        sent_bytes = self._auth_link.sent_bytes - bytes_before
        self._metrics.count(metric_names.SENT_BYTES, sent_bytes)

    async def request_lease(self, lease_id: int) -> None:
        """Send a lease request, or close the link if the peer is silent.

        The peer is silent when the oldest pending request has been unanswered
        for ``ANSWER_TIMEOUT_S``. Nothing is sent while
        ``MAX_PENDING_LEASE_REQUESTS`` requests are pending.
        """
        now = anyio.current_time()
        oldest = min(self.sent_at_by_lease.values(), default=now)
        if now - oldest > ANSWER_TIMEOUT_S:
            await self.aclose()
            return
        if len(self.sent_at_by_lease) >= MAX_PENDING_LEASE_REQUESTS:
            return
        self.sent_at_by_lease[lease_id] = now
        try:
            await self.send(control.LeaseRequest(lease_id))
        except errors.LinkClosed:
            return

    async def subscribe(self, whole: bool = False) -> None:
        """Subscribe to the peer's newer configurations and VM lists.

        The message holds this process's revision, its shard digests and the
        version of its VM list. Nothing is sent when the last subscription of
        the same kind is more recent than the minimum interval. With
        ``whole``, the peer sends whole shards instead of a delta.
        """
        now = anyio.current_time()
        interval = WHOLE_SHARDS_INTERVAL_S if whole else RESUBSCRIBE_INTERVAL_S
        if now - self._subscribed_at_by_whole[whole] < interval:
            return
        self._subscribed_at_by_whole[whole] = now
        manifest = self._view_store.view.manifest
        await self.send(
            control.Subscribe(
                manifest.revision,
                manifest.digest_by_shard,
                self._members.version,
                whole,
            )
        )

    async def _push_updates(self) -> None:
        if (
            self._view_store.view.revision == 0
            and self._sync.first_view_requested
        ):
            with anyio.move_on_after(FIRST_VIEW_WAIT_S):
                await self._view_store.wait_for_change(0)
        self._sync.first_view_requested = True
        await self.subscribe()
        while True:
            self._update_available = anyio.Event()
            await self._send_pending_updates()
            await self._update_available.wait()

    async def _send_pending_updates(self) -> None:
        if self._subscription is None:
            return
        if self.peer_revision < self._view_store.view.revision:
            await self._send_configuration()
        same_domain = (
            self.peer.failure_domain == self._members.own_vm.failure_domain
        )
        if same_domain and self.peer_members_version < self._members.version:
            update = self._members.update_for(self.peer_members_version)
            self.peer_members_version = update.version
            await self.send(update)

    async def _send_configuration(self) -> None:
        subscription = self._subscription
        view = self._view_store.view
        delta = self._view_store.delta(self.peer_revision)
        if subscription.whole:
            delta = None
            self._subscription = dataclasses.replace(subscription, whole=False)
        self.peer_revision = view.revision
        manifest = self._view_store.encoded_manifest()
        if delta is not None and _fits_in_message(manifest, delta):
            await self.send(control.Update(manifest, delta))
            return
        peer_digests = subscription.digest_by_shard
        shard_numbers = {
            number
            for number, digest in view.manifest.digest_by_shard.items()
            if peer_digests.get(number) != digest
        }
        async with self._sync.transfer_slots:
            await self._send_shards(manifest, view.revision, shard_numbers)

    async def _send_shards(
        self, manifest: bytes, revision: int, shard_numbers: set[int]
    ) -> None:
        by_shard = self._view_store.shards(shard_numbers)
        await self.send(
            control.Update(manifest, {}, tuple(sorted(shard_numbers)))
        )
        for number in sorted(shard_numbers):
            services = configuration.encode_shard(by_shard.pop(number))
            await self.send(control.Shard(revision, number, services))

    async def _receive(self) -> None:
        while True:
            message = None
            with anyio.move_on_after(IDLE_TIMEOUT_S):
                message = await self._receive_one()
            if message is None:
                raise errors.LinkClosed(
                    f"{self.peer.id} sent nothing before the idle timeout"
                )
            await self._handle(message)

    async def _receive_one(self) -> typing.Any:
        bytes_before = self._auth_link.received_bytes
        message = await self._auth_link.receive()
        received_bytes = self._auth_link.received_bytes - bytes_before
        self._metrics.count(metric_names.RECEIVED_BYTES, received_bytes)
        return message

    async def _handle(self, message: typing.Any) -> None:
        handler = _HANDLER_BY_CLASS.get(type(message))
        if handler is not None:
            await handler(self, message)
        else:
            await self.send(await handlers.dispatch(self.kernel, message))

    async def _on_subscribe(self, message: control.Subscribe) -> None:
        self._subscription = message
        own_manifest = self._view_store.view.manifest
        if (
            message.revision == own_manifest.revision
            and message.digest_by_shard != own_manifest.digest_by_shard
        ):
            self._sync.report_conflict(own_manifest.revision, self.peer.id)
        self.peer_revision = message.revision
        self.peer_members_version = message.members_version
        self.notify()

    async def _on_update(self, message: control.Update) -> None:
        manifest = self._decode_manifest(message.manifest)
        if manifest is None:
            return
        if manifest.revision > self.peer_revision:
            self.peer_revision = manifest.revision
        self._transfer = None
        if message.shards:
            missing = set(message.shards)
            self._transfer = _ShardTransfer(manifest, missing, {})
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
        is_newer = transfer.manifest.revision > self._view_store.view.revision
        if is_newer:
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
            if is_newer:
                changed = self._view_store.diff_shards(
                    transfer.services_by_shard
                )
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
        for lease_id, other_sent_at in list(self.sent_at_by_lease.items()):
            # The peer answers in order, so older requests stay unanswered.
            if other_sent_at < sent_at:
                del self.sent_at_by_lease[lease_id]
        if not self._lease.confirm(sent_at, message.revision):
            await self.subscribe()

    async def _on_member_update(self, message: control.MemberUpdate) -> None:
        if message.version > self.peer_members_version:
            self.peer_members_version = message.version
        self._members.apply_update(message)


def _fits_in_message(manifest: bytes, delta: dict[str, bytes | None]) -> bool:
    """Return whether manifest and delta fit in one message.

    The size is an upper bound: UTF-8 takes up to 4 bytes per character of
    a name, and the encoding of an entry adds up to 16 bytes.
    """
    size = len(manifest)
    for name, encoded in delta.items():
        size += len(name) * 4 + 16 + len(encoded or b"")
    return size < control.MAX_MESSAGE_BYTES - MESSAGE_MARGIN_BYTES


_HANDLER_BY_CLASS: dict[type, typing.Callable] = {
    control.Subscribe: PeerLink._on_subscribe,
    control.Update: PeerLink._on_update,
    control.Shard: PeerLink._on_shard,
    control.LeaseAnswer: PeerLink._on_lease_answer,
    control.MemberUpdate: PeerLink._on_member_update,
}
