"""The configuration of a cell's deployment, and its publication."""

import dataclasses

import msgspec

from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.standins import virtual_platform

MANIFEST_KEY = "bramleypin/manifest"
VMS_KEY = "bramleypin/vms"


def shard_key(number: int) -> str:
    """Return the platform's key of a shard."""
    return f"bramleypin/shard/{number:02d}"


@dataclasses.dataclass
class Publication:
    """What the operators publish; each ``publish`` is a new revision.

    The VM list is written by the platform and lags by ``vms_lag_s``, which
    the deployment applies.
    """

    platform: virtual_platform.VirtualPlatform
    services: dict[str, configuration.Service]
    failure_domains: dict[str, configuration.FailureDomain]
    retired: tuple[str, ...] = ()
    revision: int = 0
    vms_version: int = 0

    def publish(self) -> int:
        """Write the shards and then the manifest; returns the revision."""
        self.revision += 1
        by_shard: dict[int, dict[str, bytes]] = {}
        for name, service in self.services.items():
            shard = configuration.shard_of(name)
            encoded = configuration.encode(service)
            by_shard.setdefault(shard, {})[name] = encoded
        manifest = configuration.Manifest(
            format=configuration.FORMAT,
            revision=self.revision,
            digest_by_shard={
                shard: configuration.shard_digest(group)
                for shard, group in by_shard.items()
            },
            failure_domain_by_name=dict(self.failure_domains),
            retired=self.retired,
        )
        values = {
            shard_key(shard): configuration.encode_shard(group)
            for shard, group in by_shard.items()
        }
        values[MANIFEST_KEY] = configuration.encode(manifest)
        self.platform.publish(values)
        return self.revision

    def publish_vms(self, members: list[vms.Vm]) -> None:
        """Write the VM list."""
        self.vms_version += 1
        document = vms.VmList(vms.FORMAT, self.vms_version, tuple(members))
        self.platform.publish({VMS_KEY: vms.encode(document)})

    def set_out(self, failure_domain: str, out: bool) -> None:
        """Take a failure domain out of service or return it."""
        before = self.failure_domains[failure_domain]
        self.failure_domains[failure_domain] = msgspec.structs.replace(
            before, out=out
        )

    def change_endpoint(
        self, service: str, endpoint_id: str, **changes: object
    ) -> None:
        """Change fields of one endpoint."""
        before = self.services[service]
        endpoints = tuple(
            (
                msgspec.structs.replace(item, **changes)
                if item.id == endpoint_id
                else item
            )
            for item in before.endpoints
        )
        self.services[service] = msgspec.structs.replace(
            before, endpoints=endpoints
        )

    def set_addresses(
        self, service: str, add: str = "", drop: str = ""
    ) -> None:
        """Give a service an address, or take one away."""
        before = self.services[service]
        kept = [item for item in before.addresses if item not in (add, drop)]
        if add:
            kept.append(add)
        self.services[service] = msgspec.structs.replace(
            before, addresses=tuple(kept)
        )
