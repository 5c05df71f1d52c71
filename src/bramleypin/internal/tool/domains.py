"""Takes failure domains out of service and returns them to service."""

import dataclasses

import msgspec

from bramleypin import errors
from bramleypin.internal.tool import capacity
from bramleypin.internal.tool import documents


@dataclasses.dataclass(frozen=True)
class RemainingCapacity:
    """Capacity of one service in the failure domains that are in service."""

    service: str
    available: capacity.Capacity
    demand: documents.Demand

    def text(self) -> str:
        """Describe the capacity and the load in one line."""
        share = self.available.utilisation(self.demand)
        note = ""
        if not self.available.carries(self.demand):
            note = ": not enough"
        elif share >= capacity.HIGH_UTILISATION:
            note = ": enough, but waiting times will grow"
        return (
            f"{self.service}: {self.available.endpoints} endpoints remain, "
            f"{self.available.text(self.demand)} ({share:.0%} used){note}"
        )


def with_domain_state(
    bundle: documents.Bundle, name: str, is_out: bool
) -> documents.Bundle:
    """Return the next revision, with one failure domain out or in service.

    :raises errors.UnknownName: when there is no such failure domain.
    :raises errors.GuaranteeViolated: when it is in that state already.
    """
    domains = dict(bundle.manifest.failure_domain_by_name)
    if name not in domains:
        raise errors.UnknownName("failure domain", name, sorted(domains))
    if domains[name].out == is_out:
        state = "out of service" if is_out else "in service"
        raise errors.GuaranteeViolated(
            [
                f"failure domain {name} is already {state} in revision "
                f"{bundle.revision}; publish that revision again if daemons "
                "do not show it"
            ]
        )
    domains[name] = msgspec.structs.replace(domains[name], out=is_out)
    return documents.assemble(
        bundle.revision + 1,
        domains,
        bundle.manifest.retired,
        bundle.service_by_name,
        bundle.demand_by_service,
        bundle.deployment,
    )


def remaining_capacities(bundle: documents.Bundle) -> list[RemainingCapacity]:
    """Return the remaining capacity of each service with a known load."""
    domains_out = set(bundle.out_domains())
    result = []
    for name, demand in bundle.demand_by_service.items():
        service = bundle.service_by_name[name]
        endpoints = capacity.serving_endpoints(service, domains_out)
        available = capacity.of_endpoints(endpoints, demand)
        result.append(RemainingCapacity(name, available, demand))
    return result


def require_capacity(bundle: documents.Bundle) -> None:
    """Check that the failure domains in service can carry the load.

    :raises errors.GuaranteeViolated: naming each service that lacks capacity.
    """
    findings = [
        item.text()
        for item in remaining_capacities(bundle)
        if not item.available.carries(item.demand)
    ]
    if findings:
        raise errors.GuaranteeViolated(findings)
