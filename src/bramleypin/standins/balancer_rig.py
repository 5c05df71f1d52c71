"""A single balancer without real membership, for tests and benchmarks.

The membership services are replaced by ``Membership``, whose state a test
sets directly; all other services are the real ones.
"""

import dataclasses
import importlib
import typing

import anyio.abc

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.net import environment
from bramleypin.internal import services
from bramleypin import settings as settings_module

KEY = "6b" * 32
_REPLACED_SERVICES = ("members", "sync", "lease")
_START_ORDER = (
    "metrics",
    "trace",
    "outcomes",
    "status",
    "view",
    "port",
    "ingress",
    "openings",
    "forwarder",
    "frames",
)
_MODULES = tuple(
    name
    for name in services.MODULES_BY_ROLE["balancer"]
    if "membership" not in name or name.endswith("view_store")
)


@dataclasses.dataclass
class Membership:
    """Replaces the services ``members``, ``sync`` and ``lease``."""

    valid: bool = True
    leaving: set[address.Address] = dataclasses.field(default_factory=set)
    reports: list[tuple[int, address.Address]] = dataclasses.field(
        default_factory=list
    )

    def is_valid(self) -> bool:
        """Return whether the simulated lease is valid."""
        return self.valid

    def is_leaving(self, data_address: address.Address) -> bool:
        """Return whether the process with this data address is leaving."""
        return data_address in self.leaving

    def peers(self) -> list[typing.Any]:
        """Return an empty list: the process has no peers."""
        return []

    def report_newer(self, revision: int, control: address.Address) -> None:
        """Record the report of a newer revision for the test."""
        self.reports.append((revision, control))


def balancer_settings(
    name: str = "balancer-1",
    data: str = "127.0.0.1:0",
    ingress: settings_module.Ingress = settings_module.Ingress(),
    limits: settings_module.Limits = settings_module.Limits(),
) -> settings_module.Settings:
    """Return settings of a balancer in the failure domain ``austin``."""
    return settings_module.Settings(
        role="balancer",
        id=name,
        failure_domain="austin",
        keys=(KEY,),
        addresses=settings_module.Addresses(data, "127.0.0.1:0"),
        ingress=ingress,
        limits=limits,
    )


async def start(
    settings: settings_module.Settings,
    env: environment.Environment,
    tasks: anyio.abc.TaskGroup,
) -> tuple[kernel_module.Kernel, Membership]:
    """Start a balancer and run its services in ``tasks``."""
    for module in _MODULES:
        importlib.import_module(module)
    kernel = kernel_module.Kernel(settings, env)
    membership = Membership()
    for name in _REPLACED_SERVICES:
        kernel.service_by_name[name] = typing.cast(typing.Any, membership)
    for name in _START_ORDER:
        entry = kernel_module.SERVICES.get(f"balancer/{name}")
        instance = entry.factory(kernel)
        await instance.start()
        kernel.service_by_name[name] = instance
    for name in _START_ORDER:
        tasks.start_soon(kernel.get(name).run)
    kernel.started.set()
    return kernel, membership


async def stop(kernel: kernel_module.Kernel) -> None:
    """Stop a balancer; its tasks end when their ports close."""
    for name in reversed(_START_ORDER):
        await kernel.get(name).stop()


def documents(
    revision: int,
    service_documents: typing.Iterable[configuration.Service],
    domains: typing.Iterable[str],
    out: typing.Container[str] = (),
    retired: tuple[str, ...] = (),
) -> tuple[configuration.Manifest, dict[str, bytes]]:
    """Return a manifest and the encoded services by name.

    Both are arguments of the ``apply`` method of the service ``view``. ``out``
    lists the failure domains that are out of service.
    """
    encoded_by_service = {
        item.name: configuration.encode(item) for item in service_documents
    }
    by_shard: dict[int, dict[str, bytes]] = {}
    for name, encoded in encoded_by_service.items():
        shard = configuration.shard_of(name)
        by_shard.setdefault(shard, {})[name] = encoded
    manifest = configuration.Manifest(
        format=configuration.FORMAT,
        revision=revision,
        digest_by_shard={
            shard: configuration.shard_digest(shard_services)
            for shard, shard_services in by_shard.items()
        },
        failure_domain_by_name={
            name: configuration.FailureDomain("texas", name in out)
            for name in domains
        },
        retired=retired,
    )
    return manifest, encoded_by_service
