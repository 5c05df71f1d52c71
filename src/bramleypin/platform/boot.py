"""Parses the JSON settings file that the platform writes for a process."""

import os
import pathlib

import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.stream import settings as stream_settings

BOOT_VARIABLE = "BRAMLEYPIN_BOOT"
DEFAULT_BOOT_FILE = "/etc/bramleypin/node.json"

READINESS_PATH = "/bramleypin/readiness"
# deploy/system.toml repeats this number, because it cannot refer to the
# settings. Change both together.
METRICS_PORT = 9_102

# Role of a process by the value in the list ``serves``.
ROLE_BY_SERVED = {"front": "stream_balancer", "side": "stream_agent"}


class _Listen(msgspec.Struct, frozen=True):
    datagram_addr: str
    ready_addr: str
    control: str = ""
    outbound: str = ""


class _StoreLocation(msgspec.Struct, frozen=True):
    address: str


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 6.0
    flow_max_s: float = 60.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    drain_ms: float = 3_000.0
    config_apply_ms: float = 3_000.0
    evacuate_ms: float = 5_000.0


class _BootFile(msgspec.Struct, frozen=True):
    node: str
    zone: str
    serves: list[str]
    listen: _Listen
    platform: _StoreLocation
    internal_ports: list[int]
    seeds: list[str] = []
    bootstrap: bool = False
    service: str = ""
    app: str = ""
    bounds: _Bounds = _Bounds()


def _optional_address(text: str) -> address.Address | None:
    return address.parse(text) if text else None


def parse(
    data: bytes, file: str
) -> tuple[stream_settings.StreamSettings, address.Address]:
    """Return the settings and the address of the metadata store.

    :raises errors.InvalidSettings: if a key is missing or a value invalid.
    """
    try:
        boot = msgspec.json.decode(data, type=_BootFile)
    except msgspec.DecodeError as error:
        message, _, path = str(error).partition(" - at ")
        key = path.strip("`").removeprefix("$.") or "(file)"
        raise errors.InvalidSettings(file, key, None, message) from error
    roles = [
        role for name, role in ROLE_BY_SERVED.items() if name in boot.serves
    ]
    if len(roles) != 1:
        raise errors.InvalidSettings(
            file, "serves", boot.serves, "list exactly one of front and side"
        )
    if not boot.internal_ports:
        raise errors.InvalidSettings(
            file, "internal_ports", [], "list the first and the last port"
        )
    try:
        return _stream_settings(boot, roles[0]), address.parse(
            boot.platform.address
        )
    except errors.InvalidFrame as error:
        raise errors.InvalidSettings(
            file, "listen", str(error), "write an IPv4 address and a port"
        ) from error


def _stream_settings(
    boot: _BootFile, role: str
) -> stream_settings.StreamSettings:
    ingress = address.parse(boot.listen.datagram_addr)
    port = boot.internal_ports[0]
    # All VMs use the same internal ports, so other daemons reach a seed at its
    # own host and at this daemon's internal port number.
    hosts = (address.parse(seed).host for seed in boot.seeds)
    seeds = (address.Address(h, port) for h in hosts if h != ingress.host)
    return stream_settings.StreamSettings(
        role=role,
        id=boot.node,
        failure_domain=boot.zone,
        ingress=ingress,
        peers=address.Address(ingress.host, port),
        readiness=address.parse(boot.listen.ready_addr),
        seeds=tuple(seeds),
        caller_port=ingress.port,
        readiness_path=READINESS_PATH,
        service=boot.service,
        is_first_start=boot.bootstrap,
        metrics_address=address.Address(ingress.host, METRICS_PORT),
        endpoint=_optional_address(boot.app),
        outbound=_optional_address(boot.listen.outbound),
        bounds=stream_settings.Bounds(
            shutdown_grace_s=boot.bounds.grace_s,
            flow_lifetime_s=boot.bounds.flow_max_s,
            cold_factor=boot.bounds.cold_over,
            cold_burst=boot.bounds.cold_slack,
            # All kinds of change share one bound, so the shortest is used.
            change_s=min(
                boot.bounds.drain_ms,
                boot.bounds.config_apply_ms,
                boot.bounds.evacuate_ms,
            )
            / 1000,
        ),
    )


def load() -> tuple[stream_settings.StreamSettings, address.Address]:
    """Read the file that ``BRAMLEYPIN_BOOT`` names, or the default one.

    :raises errors.InvalidSettings: if it is unreadable or invalid.
    """
    file = os.environ.get(BOOT_VARIABLE, DEFAULT_BOOT_FILE)
    try:
        data = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise errors.InvalidSettings(
            file, "(file)", str(error), "give the path of a readable file"
        ) from error
    return parse(data, file)
