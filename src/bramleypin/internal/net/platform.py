"""Clients of the configuration service, by the scheme of its URL."""

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

Factory = typing.Callable[
    [settings_module.Platform], environment.PlatformSource
]

CLIENTS: registry.Registry[Factory] = registry.Registry("platform scheme")


def connect(settings: settings_module.Platform) -> environment.PlatformSource:
    """Return the client for the scheme of the settings' URL.

    :raises errors.UnknownName: when no client knows the scheme.
    """
    scheme = urllib.parse.urlsplit(settings.url).scheme
    return CLIENTS.get(scheme)(settings)


@CLIENTS.register("http")
class HttpPlatform:
    """``GET <url>/v1/<key>``; the header X-Index carries the index.

    A watch adds ``?after=N&wait_s=S`` and is answered 200 with the value or
    304. The client speaks HTTP/1.1 through h11 over a connection for each
    call, because importing a complete HTTP client takes 20 MB.
    """

    def __init__(self, settings: settings_module.Platform):
        url = urllib.parse.urlsplit(settings.url)
        self._host = url.hostname or ""
        self._port = url.port or 80
        self._path = url.path.rstrip("/")

    async def read(self, key: str) -> environment.PlatformValue:
        """Read a value."""
        value = await self._get(key, "", READ_TIMEOUT_S)
        if value is None:
            raise errors.PlatformUnavailable(f"304 to a read of {key}")
        return value

    async def watch(
        self, key: str, after: int, wait_s: float
    ) -> environment.PlatformValue | None:
        """Wait until the key's index exceeds ``after``; ``None`` if not."""
        query = f"?after={after}&wait_s={wait_s:g}"
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
        return _value(key, status, headers, body)

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
                connection, stream, configuration.VALUE_LIMIT_BYTES
            )


def _value(
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
            f"{key}: no valid header X-Index"
        ) from error
    return environment.PlatformValue(key, index, body)
