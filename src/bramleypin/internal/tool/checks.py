"""Checks of a revision against what callers were promised.

Each check is registered by a decorator and returns a sentence for each fault,
which says what is wrong and what to do instead.
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


# In an emergency an operator may have to publish what cannot carry the load
# or lets go of flows. Nothing may bring two services onto one address.
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


def require(
    bundle: documents.Bundle,
    previous: documents.Bundle | None = None,
    force: bool = False,
) -> list[str]:
    """Refuse a revision that breaks a promise.

    With ``force``, the faults that may be forced are returned instead.

    :raises errors.PromiseBroken: with a sentence for each other fault.
    """
    forced = FORCEABLE if force else ()
    names = [name for name in CHECKS.entry_by_name if name not in forced]
    findings = run(bundle, previous, names)
    if findings:
        raise errors.PromiseBroken(findings)
    return run(bundle, previous, forced)


@CHECKS.register("documents")
def documents_are_valid(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Daemons refuse a revision with an invalid document as a whole."""
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
    """The platform holds values of up to a megabyte."""
    limit = configuration.MAX_VALUE_BYTES
    return [
        f"{name} has {len(content)} bytes, more than the platform's limit of "
        f"{limit}; split its largest service in two"
        for name, content in documents.files(bundle).items()
        if name != documents.READABLE_FILE and len(content) > limit
    ]


@CHECKS.register("revision")
def revision_grows(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Daemons ignore a revision that is not higher than theirs."""
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
    """Two services on one address would get each other's packets."""
    services_by_address = collections.defaultdict(list)
    for service in bundle.service_by_name.values():
        for text in service.addresses:
            services_by_address[text].append(service.name)
    return [
        f"address {text} is given to {' and '.join(names)}; give each service "
        "its own"
        for text, names in services_by_address.items()
        if len(names) > 1
    ]


@CHECKS.register("retirement")
def addresses_are_retired_before_reuse(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """Two stale processes could agree on the wrong service otherwise."""
    if previous is None:
        return []
    owner_by_address = {
        text: service.name
        for service in previous.service_by_name.values()
        for text in service.addresses
    }
    findings = []
    for service in bundle.service_by_name.values():
        for text in service.addresses:
            before = owner_by_address.get(text, service.name)
            if before != service.name:
                findings.append(
                    f"address {text} belongs to {before} in revision "
                    f"{previous.revision} and to {service.name} now; first "
                    "publish a revision in which neither has it, so that it "
                    "is retired"
                )
    return findings


@CHECKS.register("agents")
def agents_serve_one_endpoint(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """An agent runs beside one endpoint of one service."""
    users_by_address = collections.defaultdict(list)
    for service in bundle.service_by_name.values():
        for endpoint in service.endpoints:
            user = f"{endpoint.id} of {service.name}"
            users_by_address["UDP", endpoint.data].append(user)
            users_by_address["TCP", endpoint.control].append(user)
    return [
        f"{protocol} {text} is the agent of {' and of '.join(users)}; give "
        "each endpoint its own address or ports"
        for (protocol, text), users in users_by_address.items()
        if len(users) > 1
    ]


@CHECKS.register("departure")
def endpoints_leave_before_they_go(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """An endpoint that vanishes at once breaks its established flows."""
    if previous is None:
        return []
    out = set(previous.out_domains())
    findings = []
    for name, before in previous.service_by_name.items():
        after = bundle.service_by_name.get(name)
        endpoints = after.endpoints if after else ()
        kept = {(item.id, item.data) for item in endpoints}
        for endpoint in before.endpoints:
            gone = (endpoint.id, endpoint.data) not in kept
            staying = endpoint.state == "in_service"
            if gone and staying and endpoint.failure_domain not in out:
                findings.append(
                    f"{endpoint.id} of {name} at {endpoint.data} is removed "
                    "while callers use it; write leaving = true for it, "
                    "publish that, and remove it two minutes later"
                )
    return findings


@CHECKS.register("capacity")
def capacity_survives_a_domain(
    bundle: documents.Bundle, previous: documents.Bundle | None
) -> list[str]:
    """The rest must carry the load while a failure domain is out."""
    findings = []
    out = set(bundle.out_domains())
    for name, demand in bundle.demand_by_service.items():
        service = bundle.service_by_name[name]
        now = capacity.of_endpoints(capacity.serving(service, out), demand)
        if not now.carries(demand):
            without = f" without {', '.join(sorted(out))}" if out else ""
            findings.append(
                f"{name} carries only {now.text(demand)}{without}; add hosts"
            )
        elif demand.survives_loss and not out:
            findings.extend(_losses(service, demand))
    return findings


def _losses(
    service: configuration.Service, demand: documents.Demand
) -> list[str]:
    left_by_domain = capacity.without_each_domain(service, demand)
    return [
        f"{service.name} carries only {left.text(demand)} without failure "
        f"domain {domain}; add hosts in other failure domains, or answer "
        "survives_loss = false"
        for domain, left in left_by_domain.items()
        if not left.carries(demand)
    ]
