"""A simulated configuration service of the platform, for tests.

It holds values in memory and can be down, stale (serve an older replica) or
slow. ``HttpServer`` serves the same values over loopback.
"""

import collections
import typing
import urllib.parse

import anyio
import anyio.abc
import h11

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal.net import environment

LATENCY_S = 0.003


class MemoryPlatform:
    """Key-value store; implements ``environment.PlatformSource``."""

    def __init__(self, prefix: str = "bramleypin"):
        self.prefix = prefix
        self.down = False
        self.latency_s = LATENCY_S
        self.calls = 0
        self.bytes_read = 0
        self.calls_by_key: collections.Counter[str] = collections.Counter()
        self._index = 0
        self._value_by_key: dict[str, environment.PlatformValue] = {}
        self._replica: dict[str, environment.PlatformValue] | None = None
        self._change_event = anyio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write a value with the next index, as an operator would.

        :raises errors.InvalidConfiguration: when the value is larger than
            ``configuration.MAX_VALUE_BYTES``.
        """
        if len(value) > configuration.MAX_VALUE_BYTES:
            raise errors.InvalidConfiguration(
                key,
                "(size)",
                f"{len(value)} bytes are more than MAX_VALUE_BYTES",
            )
        full_key = f"{self.prefix}/{key}"
        self._index += 1
        self._value_by_key[full_key] = environment.PlatformValue(
            full_key, self._index, value
        )
        self._notify_watchers()

    def set_down(self, down: bool) -> None:
        """Make calls fail or succeed; pending watches fail at once."""
        self.down = down
        self._notify_watchers()

    def freeze_replica(self) -> "StaleReplica":
        """Return a source that keeps serving the current values."""
        return StaleReplica(self, dict(self._value_by_key))

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    async def read(self, key: str) -> environment.PlatformValue:
        """Read a value."""
        return await self.read_from(self._value_by_key, key)

    async def watch(
        self, key: str, last_index: int, wait_s: float
    ) -> environment.PlatformValue | None:
        """Wait until the key's index exceeds ``last_index``.

        Returns ``None`` after ``wait_s`` seconds.
        """
        return await self.watch_from(
            self._value_by_key, key, last_index, wait_s
        )

    async def read_from(
        self, values: dict[str, environment.PlatformValue], key: str
    ) -> environment.PlatformValue:
        """Read a value from a replica whose contents are ``values``."""
        await self._start_call(key)
        value = values.get(key)
        if value is None:
            raise errors.PlatformKeyMissing(f"the platform has no key {key}")
        self.bytes_read += len(value.value)
        return value

    async def watch_from(
        self,
        values: dict[str, environment.PlatformValue],
        key: str,
        last_index: int,
        wait_s: float,
    ) -> environment.PlatformValue | None:
        """Watch a key of a replica whose contents are ``values``."""
        await self._start_call(key)
        with anyio.move_on_after(wait_s):
            while True:
                value = values.get(key)
                if value is not None and value.index > last_index:
                    await anyio.sleep(self.latency_s)
                    self.bytes_read += len(value.value)
                    return value
                await self._change_event.wait()
                self._raise_if_unavailable()
        return None

    async def _start_call(self, key: str) -> None:
        self.calls += 1
        self.calls_by_key[key] += 1
        await anyio.sleep(self.latency_s)
        self._raise_if_unavailable()

    def _raise_if_unavailable(self) -> None:
        if self.down:
            raise errors.PlatformUnavailable("the platform is down")


class StaleReplica:
    """A replica that no longer receives updates from the platform."""

    def __init__(
        self,
        platform: MemoryPlatform,
        values: dict[str, environment.PlatformValue],
    ):
        self._platform = platform
        self._values = values

    async def read(self, key: str) -> environment.PlatformValue:
        """Read a value from the frozen replica."""
        return await self._platform.read_from(self._values, key)

    async def watch(
        self, key: str, last_index: int, wait_s: float
    ) -> environment.PlatformValue | None:
        """Watch a key of the frozen replica, which never changes."""
        return await self._platform.watch_from(
            self._values, key, last_index, wait_s
        )


class Publisher:
    """Publishes configurations: the changed shards, then the manifest."""

    def __init__(self, platform: MemoryPlatform):
        self.platform = platform
        self.manifest: configuration.Manifest | None = None
        self._digest_by_shard: dict[int, bytes] = {}

    def publish(
        self,
        revision: int,
        services: typing.Iterable[configuration.Service],
        failure_domains: dict[str, configuration.FailureDomain],
        retired: tuple[str, ...] = (),
    ) -> configuration.Manifest:
        """Publish service documents as one revision."""
        encoded = {
            service.name: configuration.encode(service) for service in services
        }
        return self.publish_encoded(
            revision, encoded, failure_domains, retired
        )

    def publish_encoded(
        self,
        revision: int,
        encoded_by_service: dict[str, bytes],
        failure_domains: dict[str, configuration.FailureDomain],
        retired: tuple[str, ...] = (),
    ) -> configuration.Manifest:
        """Publish encoded service documents as one revision."""
        by_shard = group_by_shard(encoded_by_service)
        digests = {
            number: configuration.shard_digest(group)
            for number, group in sorted(by_shard.items())
        }
        for number, group in by_shard.items():
            if self._digest_by_shard.get(number) != digests[number]:
                self.platform.put(
                    f"shard/{number:02d}", configuration.encode_shard(group)
                )
        manifest = configuration.Manifest(
            configuration.FORMAT, revision, digests, failure_domains, retired
        )
        self.platform.put("manifest", configuration.encode(manifest))
        self._digest_by_shard = digests
        self.manifest = manifest
        return manifest

    def publish_vms(self, version: int, members: list[vms.Vm]) -> None:
        """Publish the VM list as one value."""
        document = vms.VmList(vms.FORMAT, version, tuple(members))
        self.platform.put("vms", vms.encode(document))

    def publish_vms_in_parts(
        self, version: int, members: list[vms.Vm], changed: set[str]
    ) -> None:
        """Publish the VM list as one part for each failure domain.

        Only the parts of the domains in ``changed`` are written.
        """
        by_domain: dict[str, list[vms.Vm]] = {}
        for vm in members:
            by_domain.setdefault(vm.failure_domain, []).append(vm)
        self._version_by_part = {
            **getattr(self, "_version_by_part", {}),
            **{domain: version for domain in changed},
        }
        for domain in sorted(changed):
            domain_list = vms.VmList(
                vms.FORMAT, version, tuple(by_domain[domain])
            )
            self.platform.put(f"vms/{domain}", vms.encode(domain_list))
        index = vms.VmList(vms.FORMAT, version, (), self._version_by_part)
        self.platform.put("vms", vms.encode(index))


def group_by_shard(
    encoded_by_service: dict[str, bytes],
) -> dict[int, dict[str, bytes]]:
    """Group encoded services by shard number."""
    by_shard: dict[int, dict[str, bytes]] = {}
    for name, encoded in encoded_by_service.items():
        number = configuration.shard_of(name)
        by_shard.setdefault(number, {})[name] = encoded
    return by_shard


class HttpServer:
    """Serves a source over HTTP on a loopback address."""

    def __init__(self, source: environment.PlatformSource):
        self.source = source
        self.address: address.Address | None = None

    async def serve(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; reports the address to ``task_status``."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        bound = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = address.Address(host, bound)
        task_status.started(self.address)
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.ByteStream) -> None:
        async with stream:
            connection = h11.Connection(h11.SERVER)
            try:
                request = await _receive_request(connection, stream)
                status, headers, body = await self._answer(request)
                response = h11.Response(status_code=status, headers=headers)
                data = connection.send(response)
                if body:
                    data += connection.send(h11.Data(data=body))
                data += connection.send(h11.EndOfMessage())
                await stream.send(data)
            except (
                h11.ProtocolError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
            ):
                return

    async def _answer(
        self, request: h11.Request
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        url = urllib.parse.urlsplit(request.target.decode("ascii"))
        key = urllib.parse.unquote(url.path).removeprefix("/v1/")
        query = urllib.parse.parse_qs(url.query)
        headers = [("Connection", "close"), ("Content-Length", "0")]
        try:
            if "after" in query:
                value = await self.source.watch(
                    key, int(query["after"][0]), float(query["wait_s"][0])
                )
            else:
                value = await self.source.read(key)
        except errors.PlatformKeyMissing:
            return 404, headers, b""
        except errors.PlatformUnavailable:
            return 503, headers, b""
        if value is None:
            return 304, headers[:1], b""
        headers = [
            ("Connection", "close"),
            ("Content-Length", str(len(value.value))),
            ("X-Index", str(value.index)),
        ]
        return 200, headers, value.value


async def _receive_request(
    connection: h11.Connection, stream: anyio.abc.ByteStream
) -> h11.Request:
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive())
        elif isinstance(event, h11.Request):
            return event
        else:
            raise h11.RemoteProtocolError("expected a request")


class DisconnectableSource:
    """One process's connection to the platform, which tests can cut."""

    def __init__(self, platform: environment.PlatformSource):
        self.platform = platform
        self.cut = False

    async def read(self, key: str) -> environment.PlatformValue:
        """Read a value.

        :raises errors.PlatformUnavailable: when the connection is cut.
        """
        self._raise_if_unavailable()
        return await self.platform.read(key)

    async def watch(
        self, key: str, last_index: int, wait_s: float
    ) -> environment.PlatformValue | None:
        """Watch a key; a value that arrives after the cut is discarded.

        :raises errors.PlatformUnavailable: when the connection is cut.
        """
        self._raise_if_unavailable()
        value = await self.platform.watch(key, last_index, wait_s)
        self._raise_if_unavailable()
        return value

    def _raise_if_unavailable(self) -> None:
        if self.cut:
            raise errors.PlatformUnavailable(
                "the connection to the platform is cut"
            )
