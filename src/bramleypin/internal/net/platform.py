"""Clients of the platform's configuration service, by URL scheme."""

import typing
import urllib.parse

import anyio
import h11

from bramleypin import errors
from bramleypin.internal.model import configuration
from bramleypin.internal.net import environment
from bramleypin.internal.net import http_response
from bramleypin.internal import registry
from bramleypin import settings as settings_module

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 5.0

ClientFactory = typing.Callable[
    [settings_module.Platform], environment.PlatformSource
]

CLIENTS: registry.Registry[ClientFactory] = registry.Registry(
    "platform scheme"
)


def connect(settings: settings_module.Platform) -> environment.PlatformSource:
    """Return a client for the URL in the settings.

    :raises errors.UnknownName: when no client supports the URL's scheme.
    """
    scheme = urllib.parse.urlsplit(settings.url).scheme
    return CLIENTS.get(scheme)(settings)


@CLIENTS.register("http")
class HttpPlatform:
    """A client for the configuration service over HTTP/1.1.

    A read is ``GET <url>/v1/<key>``; the header X-Index of the response holds
    the index. A watch adds ``?after=N&wait_s=S`` and is answered with 200 and
    the value, or with 304 when the index has not changed. The client uses h11
    with one connection per call, because importing a complete HTTP client
    takes 20 MB of memory.
    """

    def __init__(self, settings: settings_module.Platform):
        url = urllib.parse.urlsplit(settings.url)
        self._host = url.hostname or ""
        self._port = url.port or 80
        self._path = url.path.rstrip("/")

    async def read(self, key: str) -> environment.PlatformValue:
        """Read a value.

        :raises errors.PlatformUnavailable: when the call fails.
        :raises errors.PlatformKeyMissing: when there is no such key.
        """
        value = await self._get(key, "", READ_TIMEOUT_S)
        if value is None:
            raise errors.PlatformUnavailable(
                f"unexpected HTTP status 304 for a read of {key}"
            )
        return value

    async def watch(
        self, key: str, last_index: int, wait_s: float
    ) -> environment.PlatformValue | None:
        """Wait until the key's index exceeds ``last_index``.

        Returns ``None`` when it does not within ``wait_s``.

        :raises errors.PlatformUnavailable: when the call fails.
        :raises errors.PlatformKeyMissing: when there is no such key.
        """
        query = f"?after={last_index}&wait_s={wait_s:g}"
        return await self._get(key, query, wait_s + READ_TIMEOUT_S)

    async def _get(
        self, key: str, query: str, timeout_s: float
    ) -> environment.PlatformValue | None:
        target = f"{self._path}/v1/{urllib.parse.quote(key)}{query}"
        try:
            with anyio.fail_after(timeout_s):
                status, headers, body = await self._exchange(target)
        except TimeoutError as error:
            raise errors.PlatformUnavailable(
                f"no answer for {key} within {timeout_s:g} s"
            ) from error
        except http_response.FAILURES as error:
            raise errors.PlatformUnavailable(f"{key}: {error}") from error
        return _parse_response(key, status, headers, body)

    async def _exchange(
        self, target: str
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        stream = await anyio.connect_tcp(self._host, self._port)
        async with stream:
            connection = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method="GET",
                target=target,
                headers=[
                    ("Host", f"{self._host}:{self._port}"),
                    ("Connection", "close"),
                ],
            )
            await stream.send(connection.send(request))
            await stream.send(connection.send(h11.EndOfMessage()))
            return await http_response.read(
                connection, stream, configuration.MAX_VALUE_BYTES
            )


def _parse_response(
    key: str, status: int, headers: dict[bytes, bytes], body: bytes
) -> environment.PlatformValue | None:
    if status == 304:
        return None
    if status == 404:
        raise errors.PlatformKeyMissing(f"the platform has no key {key}")
    if status != 200:
        raise errors.PlatformUnavailable(f"{key}: HTTP status {status}")
    try:
        index = int(headers[b"x-index"])
    except (KeyError, ValueError) as error:
        raise errors.PlatformUnavailable(
            f"{key}: the header X-Index is missing or not an integer"
        ) from error
    return environment.PlatformValue(key, index, body)
