"""Reads and writes the folder of a generated revision.

``manifest.cbor`` and ``shard-NN.cbor`` are the values to publish.
``configuration.json`` has the same contents in readable form. In addition, the
file has the load that the services must carry, which only this tool uses.
"""

import dataclasses
import json
import os
import pathlib
import typing

import msgspec

from bramleypin import errors
from bramleypin.internal.model import configuration

MANIFEST_FILE = "manifest.cbor"
READABLE_FILE = "configuration.json"


class Demand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load that a service must carry in its busiest hour."""

    requests_per_s: float
    slot_time_s: float
    open_callers: int
    survives_loss: bool


@dataclasses.dataclass(frozen=True)
class Bundle:
    """One revision: the published documents and the tool's own data."""

    manifest: configuration.Manifest
    service_by_name: dict[str, configuration.Service]
    demand_by_service: dict[str, Demand]
    deployment: str

    @property
    def revision(self) -> int:
        """Number of the revision."""
        return self.manifest.revision

    def out_domains(self) -> list[str]:
        """Return the names of the failure domains that are out of service."""
        domains = self.manifest.failure_domain_by_name
        return [name for name, domain in domains.items() if domain.out]


def assemble(
    revision: int,
    domains: dict[str, configuration.FailureDomain],
    retired: typing.Iterable[str],
    services: dict[str, configuration.Service],
    demands: dict[str, Demand],
    deployment: str,
) -> Bundle:
    """Build a revision and its digests; equal input gives equal bytes."""
    sorted_services = dict(sorted(services.items()))
    digests = {
        shard: configuration.shard_digest(content)
        for shard, content in sorted(
            _content_by_shard(sorted_services).items()
        )
    }
    manifest = configuration.Manifest(
        format=configuration.FORMAT,
        revision=revision,
        digest_by_shard=digests,
        failure_domain_by_name=dict(sorted(domains.items())),
        retired=tuple(sorted(set(retired))),
    )
    return Bundle(
        manifest, sorted_services, dict(sorted(demands.items())), deployment
    )


def _content_by_shard(
    services: dict[str, configuration.Service],
) -> dict[int, dict[str, bytes]]:
    content_by_shard: dict[int, dict[str, bytes]] = {}
    for name, service in services.items():
        shard = configuration.shard_of(name)
        content = content_by_shard.setdefault(shard, {})
        content[name] = configuration.encode(service)
    return content_by_shard


def shard_file(shard: int) -> str:
    """Return the name of a shard's file."""
    return f"shard-{shard:02}.cbor"


def file_contents(bundle: Bundle) -> dict[str, bytes]:
    """Return the contents of all files by name, the manifest last.

    The manifest names the digests of the shards. Publishing the files in this
    order ensures that no reader finds a manifest whose shards are missing.
    """
    content_by_file = {
        shard_file(shard): configuration.encode_shard(content)
        for shard, content in sorted(
            _content_by_shard(bundle.service_by_name).items()
        )
    }
    content_by_file[READABLE_FILE] = readable_json(bundle)
    content_by_file[MANIFEST_FILE] = configuration.encode(bundle.manifest)
    return content_by_file


def readable_json(bundle: Bundle) -> bytes:
    """Return the contents of ``configuration.json``."""
    services = {}
    for name, service in bundle.service_by_name.items():
        entry = msgspec.to_builtins(service)
        demand = bundle.demand_by_service.get(name)
        if demand is not None:
            entry["demand"] = msgspec.to_builtins(demand)
        services[name] = entry
    domains = bundle.manifest.failure_domain_by_name
    content = {
        "note": "for reading; edit the answers and generate instead",
        "deployment": bundle.deployment,
        "revision": bundle.revision,
        "failure_domains": {
            name: {"region": domain.region, "out": domain.out}
            for name, domain in domains.items()
        },
        "retired": list(bundle.manifest.retired),
        "services": services,
    }
    return (json.dumps(content, indent=2, ensure_ascii=False) + "\n").encode()


def write(bundle: Bundle, folder: pathlib.Path) -> None:
    """Write all files and remove the shard files of other revisions.

    Each file is replaced atomically and the manifest is written last, so that
    an interrupted run leaves no manifest whose shards are missing.

    :raises errors.InvalidSettings: when the folder cannot be written.
    """
    content_by_file = file_contents(bundle)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for name, content in content_by_file.items():
            temporary_path = folder / f".{name}.partial"
            temporary_path.write_bytes(content)
            os.replace(temporary_path, folder / name)
        for path in folder.glob("shard-*.cbor"):
            if path.name not in content_by_file:
                path.unlink()
    except OSError as error:
        raise errors.InvalidSettings(
            str(folder), "(folder)", str(error), "name a writable folder"
        ) from error


def exists(folder: pathlib.Path) -> bool:
    """Return whether a folder holds a generated revision."""
    return (folder / MANIFEST_FILE).is_file()


def read(folder: pathlib.Path) -> Bundle:
    """Read a revision and verify it as a daemon does.

    :raises errors.InvalidSettings: when the folder holds no revision.
    :raises errors.InvalidConfiguration: when a document is malformed or does
        not match the manifest.
    """
    manifest = configuration.decode(
        _read_bytes(folder, MANIFEST_FILE),
        configuration.Manifest,
        str(folder / MANIFEST_FILE),
    )
    services: dict[str, configuration.Service] = {}
    for shard, digest in manifest.digest_by_shard.items():
        services.update(_read_shard(folder, shard, digest))
    entries = _read_readable_file(folder, manifest.revision)
    demands = {
        name: _decode_demand(folder, name, entry["demand"])
        for name, entry in entries.get("services", {}).items()
        if "demand" in entry and name in services
    }
    sorted_services = dict(sorted(services.items()))
    return Bundle(
        manifest, sorted_services, demands, entries.get("deployment", "")
    )


def _read_bytes(folder: pathlib.Path, name: str) -> bytes:
    try:
        return (folder / name).read_bytes()
    except OSError as error:
        raise errors.InvalidSettings(
            str(folder),
            name,
            error.strerror,
            "name a folder that `bramleypin configuration generate` wrote",
        ) from error


def _read_shard(
    folder: pathlib.Path, shard: int, digest: bytes
) -> dict[str, configuration.Service]:
    name = str(folder / shard_file(shard))
    data = _read_bytes(folder, shard_file(shard))
    content = configuration.decode_shard(data, name)
    if configuration.shard_digest(content) != digest:
        raise errors.InvalidConfiguration(
            name,
            "digest",
            "does not match the manifest; generate the documents again",
        )
    return {
        service: configuration.decode(
            encoded, configuration.Service, f"{name}: service {service}"
        )
        for service, encoded in content.items()
    }


def _read_readable_file(
    folder: pathlib.Path, revision: int
) -> dict[str, typing.Any]:
    path = folder / READABLE_FILE
    if not path.is_file():
        return {}
    try:
        entries = json.loads(path.read_text(encoding="utf-8"))
        stated_revision = entries["revision"]
    except (ValueError, KeyError, TypeError) as error:
        raise errors.InvalidConfiguration(
            str(path), "$", f"{error}; generate again instead of editing it"
        ) from error
    if stated_revision != revision:
        raise errors.InvalidConfiguration(
            str(path),
            "revision",
            f"is {stated_revision}, but the manifest is revision {revision}; "
            "generate again instead of editing it",
        )
    return entries


def _decode_demand(folder: pathlib.Path, name: str, entry: object) -> Demand:
    try:
        return msgspec.convert(entry, Demand)
    except msgspec.ValidationError as error:
        raise errors.InvalidConfiguration(
            str(folder / READABLE_FILE),
            f"services.{name}.demand",
            f"{error}; generate again instead of editing it",
        ) from error
