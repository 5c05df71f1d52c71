"""Checks that a revision keeps the promises to callers.

Each check is registered by a decorator. It returns one sentence for each
fault, which states the fault and how to correct it.
"""

import collections
import collections.abc
import typing

from bramleypin import errors
from bramleypin.internal.model import configuration
from bramleypin.internal import registry
from bramleypin.internal.tool import capacity
from bramleypin.internal.tool import documents

Check = typing.Callable[[documents.Bundle, documents.Bundle | None], list[str]]
CHECKS: registry.Registry[Check] = registry.Registry("configuration check")

# In an emergency an operator may have to publish a revision that cannot carry
# the load or that abandons flows. No emergency justifies two services on one
# address.
FORCEABLE = ("capacity", "departure")


def run(
    bundle: documents.Bundle,
    previous: documents.Bundle | None = None,
    names: collections.abc.Iterable[str] | None = None,
) -> list[str]:
    """Return a sentence for each fault that the named checks find."""
    findings: list[str] = []
    for name in CHECKS.entry_by_name if names is None else names:
        findings.extend(CHECKS.get(name)(bundle, previous))
    return findings


def require_passing(
    bundle: documents.Bundle,
    previous: documents.Bundle | None = None,
    force: bool = False,
) -> list[str]:
    """Raise an error for a revision that breaks a promise.

    With ``force``, faults of the checks in ``FORCEABLE`` are returned instead
    of raised.

    :raises errors.GuaranteeViolated: with a sentence for each other fault.
    """
    forced = FORCEABLE if force else ()
    names = [name for name in CHECKS.entry_by_name if name not in forced]
    findings = run(bundle, previous, names)
    if findings:
        raise errors.GuaranteeViolated(findings)
    return run(bundle, previous, forced)


@CHECKS.register("documents")
def documents_are_valid(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check all documents; daemons reject a revision with an invalid one."""
    findings = []
    for service in bundle.service_by_name.values():
        try:
            configuration.check_service(service, bundle.manifest)
        except errors.InvalidConfiguration as error:
            findings.append(f"{error}; correct that answer")
    return findings


@CHECKS.register("size")
def documents_fit_the_platform(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check the size of each value; the platform stores up to 1 MB."""
    limit = configuration.MAX_VALUE_BYTES
    return [
        f"{name} has {len(content)} bytes, more than the platform's limit of "
        f"{limit}; split its largest service in two"
        for name, content in documents.file_contents(bundle).items()
        if name != documents.READABLE_FILE and len(content) > limit
    ]


@CHECKS.register("revision")
def revision_increases(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check that the number increases; daemons ignore other revisions."""
    if bundle.revision < 1:
        return [f"revision {bundle.revision} is below 1; write 1 or more"]
    if previous is None or bundle.revision > previous.revision:
        return []
    return [
        f"revision {bundle.revision} is not higher than the previous one, "
        f"{previous.revision}, and daemons would ignore it; write "
        f"{previous.revision + 1} or more"
    ]


@CHECKS.register("addresses")
def addresses_belong_to_one_service(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check that no two services would get each other's packets."""
    services_by_address = collections.defaultdict(list)
    for service in bundle.service_by_name.values():
        for address in service.addresses:
            services_by_address[address].append(service.name)
    return [
        f"address {address} is given to {' and '.join(names)}; give each "
        "service its own"
        for address, names in services_by_address.items()
        if len(names) > 1
    ]


@CHECKS.register("retirement")
def addresses_are_retired_before_reuse(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check that an address is unused for one revision before its reuse.

    Otherwise, two processes with stale views could agree on the wrong service.
    """
    if previous is None:
        return []
    owner_by_address = {
        address: service.name
        for service in previous.service_by_name.values()
        for address in service.addresses
    }
    findings = []
    for service in bundle.service_by_name.values():
        for address in service.addresses:
            previous_owner = owner_by_address.get(address, service.name)
            if previous_owner != service.name:
                findings.append(
                    f"address {address} belongs to {previous_owner} in "
                    f"revision {previous.revision} and to {service.name} now; "
                    "first publish a revision in which neither has it, so "
                    "that it is retired"
                )
    return findings


@CHECKS.register("agents")
def agents_serve_one_endpoint(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check that each agent runs beside one endpoint of one service."""
    endpoints_by_address = collections.defaultdict(list)
    for service in bundle.service_by_name.values():
        for endpoint in service.endpoints:
            endpoint_name = f"{endpoint.id} of {service.name}"
            endpoints_by_address["UDP", endpoint.data].append(endpoint_name)
            endpoints_by_address["TCP", endpoint.control].append(endpoint_name)
    return [
        f"{protocol} {address} is the agent address of "
        f"{' and of '.join(endpoint_names)}; give each endpoint its own "
        "address or ports"
        for (protocol, address), endpoint_names in endpoints_by_address.items()
        if len(endpoint_names) > 1
    ]


@CHECKS.register("departure")
def endpoints_leave_before_removal(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check that endpoints leave first; otherwise, removal breaks flows."""
    if previous is None:
        return []
    domains_out = set(previous.out_domains())
    findings = []
    for name, previous_service in previous.service_by_name.items():
        service = bundle.service_by_name.get(name)
        endpoints = service.endpoints if service else ()
        remaining = {(item.id, item.data) for item in endpoints}
        for endpoint in previous_service.endpoints:
            is_removed = (endpoint.id, endpoint.data) not in remaining
            is_in_service = endpoint.state == "in_service"
            if (
                is_removed
                and is_in_service
                and endpoint.failure_domain not in domains_out
            ):
                findings.append(
                    f"{endpoint.id} of {name} at {endpoint.data} is removed "
                    "while callers use it; write leaving = true for it, "
                    "publish that, and remove it two minutes later"
                )
    return findings


@CHECKS.register("capacity")
def capacity_survives_a_domain_outage(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Check that the load can be carried without any one failure domain."""
    findings = []
    domains_out = set(bundle.out_domains())
    for name, demand in bundle.demand_by_service.items():
        service = bundle.service_by_name[name]
        current = capacity.of_endpoints(
            capacity.serving_endpoints(service, domains_out), demand
        )
        if not current.carries(demand):
            without = (
                f" without {', '.join(sorted(domains_out))}"
                if domains_out
                else ""
            )
            findings.append(
                f"{name} carries only {current.text(demand)}{without}; "
                "add hosts"
            )
        elif demand.survives_loss and not domains_out:
            findings.extend(_domain_outage_findings(service, demand))
    return findings


def _domain_outage_findings(
    service: configuration.Service, demand: documents.Demand
) -> list[str]:
    capacity_by_domain = capacity.without_each_domain(service, demand)
    return [
        f"{service.name} carries only {remaining.text(demand)} without "
        f"failure domain {domain}; add hosts in other failure domains, or "
        "answer survives_loss = false"
        for domain, remaining in capacity_by_domain.items()
        if not remaining.carries(demand)
    ]
