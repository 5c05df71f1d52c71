"""Capacity of a service, in total and without each failure domain."""

import dataclasses

from bramleypin.internal.model import configuration
from bramleypin.internal.tool import documents

# The tool reports higher utilisation, at which waiting times grow quickly.
HIGH_UTILISATION = 0.8


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Combined capacity of a set of endpoints."""

    endpoints: int
    requests_per_s: float
    callers: int

    def carries(self, demand: documents.Demand) -> bool:
        """Return whether a load is within the capacity."""
        return (
            self.requests_per_s >= demand.requests_per_s
            and self.callers >= demand.open_callers
        )

    def utilisation(self, demand: documents.Demand) -> float:
        """Return the load as a share of the capacity."""
        if not demand.requests_per_s:
            return 0.0
        if not self.requests_per_s:
            return float("inf")
        return demand.requests_per_s / self.requests_per_s

    def text(self, demand: documents.Demand) -> str:
        """Describe the capacity and the load in one phrase."""
        return (
            f"{self.requests_per_s:g} requests/s and {self.callers} callers "
            f"for a load of {demand.requests_per_s:g} requests/s and "
            f"{demand.open_callers} callers"
        )


def of_endpoints(
    endpoints: list[configuration.Endpoint], demand: documents.Demand
) -> Capacity:
    """Return the combined capacity of endpoints.

    The weight of an endpoint is its slots times its relative speed.
    """
    total_weight = sum(endpoint.weight for endpoint in endpoints)
    return Capacity(
        len(endpoints),
        round(total_weight / demand.slot_time_s, 3),
        sum(endpoint.connections for endpoint in endpoints),
    )


def serving_endpoints(
    service: configuration.Service, domains_out: set[str]
) -> list[configuration.Endpoint]:
    """Return the endpoints that get new flows during a domain outage.

    ``domains_out`` holds the names of the domains that are out of service.
    """
    return [
        endpoint
        for endpoint in service.endpoints
        if endpoint.state == "in_service"
        and endpoint.failure_domain not in domains_out
    ]


def without_each_domain(
    service: configuration.Service, demand: documents.Demand
) -> dict[str, Capacity]:
    """Return the capacity that remains without a domain, by domain name."""
    domains = sorted({item.failure_domain for item in service.endpoints})
    return {
        domain: of_endpoints(serving_endpoints(service, {domain}), demand)
        for domain in domains
    }
