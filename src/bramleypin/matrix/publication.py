"""Publishes the configuration of a cell's deployment."""

import dataclasses

import msgspec

from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.standins import virtual_platform

MANIFEST_KEY = "bramleypin/manifest"
VMS_KEY = "bramleypin/vms"


def shard_key(number: int) -> str:
    """Return the key under which the platform stores a shard."""
    return f"bramleypin/shard/{number:02d}"


@dataclasses.dataclass
class Publication:
    """The published configuration; each ``publish`` is a new revision.

    In production, the platform updates the VM list with a delay. Here, the
    deployment waits for ``vms_lag_s`` after a daemon was added or killed and
    only then calls ``publish_vms``.
    """

    platform: virtual_platform.VirtualPlatform
    services: dict[str, configuration.Service]
    failure_domains: dict[str, configuration.FailureDomain]
    retired: tuple[str, ...] = ()
    revision: int = 0
    vms_version: int = 0

    def publish(self) -> int:
        """Write the shards and the manifest, and return the revision."""
        self.revision += 1
        encoded_by_shard: dict[int, dict[str, bytes]] = {}
        for name, service in self.services.items():
            shard = configuration.shard_of(name)
            encoded = configuration.encode(service)
            encoded_by_shard.setdefault(shard, {})[name] = encoded
        manifest = configuration.Manifest(
            format=configuration.FORMAT,
            revision=self.revision,
            digest_by_shard={
                shard: configuration.shard_digest(group)
                for shard, group in encoded_by_shard.items()
            },
            failure_domain_by_name=dict(self.failure_domains),
            retired=self.retired,
        )
        values = {
            shard_key(shard): configuration.encode_shard(group)
            for shard, group in encoded_by_shard.items()
        }
        values[MANIFEST_KEY] = configuration.encode(manifest)
        self.platform.publish(values)
        return self.revision

    def publish_vms(self, members: list[vms.Vm]) -> None:
        """Write a new version of the VM list."""
        self.vms_version += 1
        document = vms.VmList(vms.FORMAT, self.vms_version, tuple(members))
        self.platform.publish({VMS_KEY: vms.encode(document)})

    def set_out(self, failure_domain: str, out: bool) -> None:
        """Take a failure domain out of service or return it to service."""
        current = self.failure_domains[failure_domain]
        self.failure_domains[failure_domain] = msgspec.structs.replace(
            current, out=out
        )

    def change_endpoint(
        self, service: str, endpoint_id: str, **changes: object
    ) -> None:
        """Change fields of one endpoint of a service."""
        current = self.services[service]
        endpoints = tuple(
            (
                msgspec.structs.replace(item, **changes)
                if item.id == endpoint_id
                else item
            )
            for item in current.endpoints
        )
        self.services[service] = msgspec.structs.replace(
            current, endpoints=endpoints
        )

    def set_addresses(
        self, service: str, add: str = "", drop: str = ""
    ) -> None:
        """Add an address to a service, or remove one."""
        current = self.services[service]
        remaining = [
            item for item in current.addresses if item not in (add, drop)
        ]
        if add:
            remaining.append(add)
        self.services[service] = msgspec.structs.replace(
            current, addresses=tuple(remaining)
        )
