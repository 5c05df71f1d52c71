"""The settings of a daemon: immutable, and validated when loaded."""

import binascii
import difflib
import pathlib
import re
import tomllib
import typing

import msgspec

from bramleypin import errors
from bramleypin.internal import address

KEY_BYTES = 32
MAX_KEYS = 2

Role = typing.Literal["balancer", "agent"]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the settings tables, which reject unknown keys."""


class Addresses(_Table):
    """Addresses that the process listens on, as ``host:port``."""

    data: str
    control: str

    @property
    def data_address(self) -> address.Address:
        """The UDP address for frames between daemons."""
        return address.parse(self.data)

    @property
    def control_address(self) -> address.Address:
        """The TCP address for control links."""
        return address.parse(self.control)


class Ingress(_Table):
    """How a balancer receives datagrams from callers.

    The variant ``proxied`` listens on ``address`` for datagrams with a PROXY
    protocol v2 header; ``direct`` listens on each of ``ports`` at all local
    addresses.
    """

    variant: str = "proxied"
    address: str = "127.0.0.1:0"
    ports: tuple[int, ...] = (5683,)


class Platform(_Table):
    """The configuration service, which daemons read but never write."""

    url: str = "http://127.0.0.1:8500"
    prefix: str = "bramleypin"


class Endpoint(_Table):
    """The endpoint that an agent serves, on the same VM.

    ``policy`` names the admission policy.
    """

    service: str
    id: str
    address: str
    policy: str = "adaptive"

    @property
    def endpoint_address(self) -> address.Address:
        """The UDP address of the endpoint on this VM."""
        return address.parse(self.address)


class Metrics(_Table):
    """The StatsD server that receives the metrics; port 0 disables them."""

    host: str = "127.0.0.1"
    port: int = 0
    prefix: str = "bramleypin"
    interval_s: float = 10.0


class Logs(_Table):
    """The minimum log level, and whether log lines are JSON objects."""

    level: str = "INFO"
    json: bool = False


class Limits(_Table):
    """Maximum sizes of tables and queues, which bound a process's memory.

    A balancer caches the owners of ``flow_cache`` flows. To open a flow, it
    queries ``candidates`` agents and queues up to ``waiting_datagrams`` of its
    datagrams. An agent remembers ``request_records`` requests. Both roles
    keep ``trace_entries`` decisions in the trace and the configurations of
    ``decoded_services`` services in decoded form.
    """

    flow_cache: int = 200_000
    request_records: int = 16_384
    candidates: int = 8
    waiting_datagrams: int = 8
    trace_entries: int = 1_024
    decoded_services: int = 256


class Settings(_Table):
    """The contents of a daemon's settings file."""

    role: Role
    id: str
    failure_domain: str
    keys: tuple[str, ...]
    addresses: Addresses
    ingress: Ingress = Ingress()
    platform: Platform = Platform()
    endpoint: Endpoint | None = None
    metrics: Metrics = Metrics()
    logs: Logs = Logs()
    limits: Limits = Limits()

    @property
    def key_bytes(self) -> tuple[bytes, ...]:
        """The decoded keys; the first one signs, and each one verifies."""
        return tuple(binascii.unhexlify(key) for key in self.keys)


def _validate(settings: Settings, file: str) -> None:
    if not 1 <= len(settings.keys) <= MAX_KEYS:
        raise errors.InvalidSettings(
            file,
            "keys",
            f"{len(settings.keys)} keys",
            "write one key, or two during key rotation",
        )
    for index, key in enumerate(settings.keys):
        try:
            is_valid = len(binascii.unhexlify(key)) == KEY_BYTES
        except (ValueError, binascii.Error):
            is_valid = False
        if not is_valid:
            raise errors.InvalidSettings(
                file,
                f"keys[{index}]",
                f"{len(key)} characters",
                f"write {2 * KEY_BYTES} hexadecimal digits",
            )
    if settings.role == "agent" and settings.endpoint is None:
        raise errors.InvalidSettings(
            file,
            "endpoint",
            None,
            "an agent needs the table [endpoint] with service, id and address",
        )
    if settings.role == "balancer" and settings.endpoint is not None:
        raise errors.InvalidSettings(
            file,
            "endpoint",
            settings.endpoint.id,
            "remove the table [endpoint]; only agents have one",
        )
    _validate_addresses(settings, file)
    _validate_limits(settings, file)


def _validate_addresses(settings: Settings, file: str) -> None:
    text_by_key = {
        "addresses.data": settings.addresses.data,
        "addresses.control": settings.addresses.control,
        "ingress.address": settings.ingress.address,
    }
    if settings.endpoint is not None:
        text_by_key["endpoint.address"] = settings.endpoint.address
    for key, text in text_by_key.items():
        try:
            address.parse(text)
        except errors.InvalidFrame:
            raise errors.InvalidSettings(
                file,
                key,
                text,
                "write an IPv4 address and a port, "
                "for example 127.0.0.1:7000",
            ) from None


def _validate_limits(settings: Settings, file: str) -> None:
    for name in settings.limits.__struct_fields__:
        value = getattr(settings.limits, name)
        if value < 1:
            raise errors.InvalidSettings(
                file, f"limits.{name}", value, "write a number of at least 1"
            )


def parse(text: str, file: str = "settings") -> Settings:
    """Parse and validate the text of a TOML settings file.

    :raises errors.InvalidSettings: if it is invalid; the message contains
        the file, the key, its value and advice.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.InvalidSettings(
            file,
            "(TOML syntax)",
            str(error),
            "correct the TOML syntax at this position",
        ) from error
    try:
        settings = msgspec.convert(table, Settings)
    except msgspec.ValidationError as error:
        raise _settings_error(file, table, str(error)) from error
    _validate(settings, file)
    return settings


def _settings_error(
    file: str, table: dict, text: str
) -> errors.InvalidSettings:
    """Convert a validation message from msgspec to an exception."""
    message, _, path = text.partition(" - at ")
    key = path.strip("`").removeprefix("$").removeprefix(".")
    field = _QUOTED_FIELD.search(message)
    if field is not None:
        key = f"{key}.{field.group(1)}" if key else field.group(1)
        if "unknown field" in message:
            message = _unknown_key_message(field.group(1), key)
        else:
            message = "this key is required; add it"
    return errors.InvalidSettings(file, key, _value_at(table, key), message)


def _unknown_key_message(unknown_name: str, key: str) -> str:
    """Suggest the closest valid key, or list all of them."""
    parent = key.rpartition(".")[0]
    table_type = _TABLE_BY_KEY.get(parent, Settings)
    names = table_type.__struct_fields__
    close_matches = difflib.get_close_matches(unknown_name, names, n=1)
    if close_matches:
        return f"unknown key; did you mean {close_matches[0]}?"
    return f"unknown key; use one of: {', '.join(names)}"


_QUOTED_FIELD = re.compile(r"field `([^`]+)`")
_TABLE_BY_KEY: dict[str, type[_Table]] = {
    "addresses": Addresses,
    "ingress": Ingress,
    "platform": Platform,
    "endpoint": Endpoint,
    "metrics": Metrics,
    "logs": Logs,
    "limits": Limits,
}


def _value_at(table: dict, key: str) -> object:
    """Return the value at a dotted key, or ``None`` if there is none."""
    value: object = table
    for part in key.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(part)
    return value


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :raises errors.InvalidSettings: if it is unreadable or invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidSettings(
            str(path),
            "(file)",
            str(error),
            "give the path of a readable UTF-8 TOML file",
        ) from error
    return parse(text, str(path))
