"""Derives the configuration of a deployment from a team's answers."""

from bramleypin.internal.model import configuration
from bramleypin.internal.tool import answers as answers_module
from bramleypin.internal.tool import documents


def bundle(
    answers: answers_module.Answers,
    previous: documents.Bundle | None = None,
    revision: int | None = None,
) -> documents.Bundle:
    """Return the revision that follows from the answers.

    The previous revision gives the state that no answer gives: which failure
    domains are out of service, and which addresses are retired.
    """
    if revision is None:
        revision = 1 if previous is None else previous.revision + 1
    services = {item.name: service(item) for item in answers.services}
    return documents.assemble(
        revision,
        _failure_domains(answers, previous),
        retired_addresses(services, previous),
        services,
        {item.name: _service_demand(item) for item in answers.services},
        answers.deployment.name,
    )


def same_contents(one: documents.Bundle, other: documents.Bundle) -> bool:
    """Return whether two revisions are equal except for their number."""
    return (
        one.manifest.digest_by_shard == other.manifest.digest_by_shard
        and one.manifest.failure_domain_by_name
        == other.manifest.failure_domain_by_name
        and one.manifest.retired == other.manifest.retired
        and one.demand_by_service == other.demand_by_service
        and one.deployment == other.deployment
    )


def retired_addresses(
    services: dict[str, configuration.Service],
    previous: documents.Bundle | None,
) -> set[str]:
    """Return the addresses that only earlier revisions used.

    An address stays retired until a service uses it again.
    """
    if previous is None:
        return set()
    current_addresses = {
        text for item in services.values() for text in item.addresses
    }
    earlier_addresses = set(previous.manifest.retired)
    for item in previous.service_by_name.values():
        earlier_addresses.update(item.addresses)
    return earlier_addresses - current_addresses


def service(answer: answers_module.Service) -> configuration.Service:
    """Return the document of one service."""
    hosts = sorted(answer.hosts, key=lambda host: host.id)
    return configuration.Service(
        name=answer.name,
        addresses=tuple(answer.addresses),
        endpoints=tuple(_endpoint(answer, host) for host in hosts),
        protocol=answer.protocol,
        run_once=tuple(answer.run_once),
        max_duration_s=answer.longest_request_s,
        objective=configuration.Objective(
            success=answer.must_succeed, max_latency_s=answer.answer_within_s
        ),
    )


def _endpoint(
    answer: answers_module.Service, host: answers_module.Host
) -> configuration.Endpoint:
    traits = answer.traits(host)
    return configuration.Endpoint(
        id=host.id,
        failure_domain=host.failure_domain,
        data=f"{host.address}:{host.data_port}",
        control=f"{host.address}:{host.control_port}",
        slots=traits.slots,
        cold_slots=traits.cold_slots,
        ramp_s=traits.warm_up_s,
        connections=traits.connections,
        # Placement depends only on the ratio of weights. A weight depends on
        # its own host alone, so that a change of one host moves no flows
        # between the other hosts.
        weight=round(traits.slots * traits.relative_speed, 6),
        state="leaving" if host.leaving else "in_service",
    )


def _service_demand(answer: answers_module.Service) -> documents.Demand:
    return documents.Demand(
        requests_per_s=answer.requests_per_s,
        slot_time_s=answer.slot_time_s,
        open_callers=answer.open_callers,
        survives_loss=answer.survives_loss,
    )


def _failure_domains(
    answers: answers_module.Answers, previous: documents.Bundle | None
) -> dict[str, configuration.FailureDomain]:
    domains_out = set() if previous is None else set(previous.out_domains())
    return {
        domain.name: configuration.FailureDomain(
            region=domain.region, out=domain.name in domains_out
        )
        for domain in answers.failure_domains
    }
