"""Finds the answer that each value of the configuration came from."""

import collections.abc
import dataclasses
import typing

from bramleypin import errors
from bramleypin.internal.tool import answers as answers_module
from bramleypin.internal.tool import generate


@dataclasses.dataclass(frozen=True)
class Origin:
    """Origin of one value of the configuration.

    ``answer`` is the key in the answers file, or ``None`` for a value that
    comes from no answer. ``rule`` says how the value is derived.
    """

    key: str
    value: typing.Any
    answer: str | None
    question: str
    rule: str


_UNCHANGED = "the answer, unchanged"

# Entries: field of the service document, field of the answers, and the rule by
# which the value is derived.
_SERVICE_FIELDS = (
    ("addresses", "addresses", _UNCHANGED),
    ("protocol", "protocol", _UNCHANGED),
    ("run_once", "run_once", _UNCHANGED),
    ("max_duration_s", "longest_request_s", _UNCHANGED),
    ("objective.success", "must_succeed", _UNCHANGED),
    ("objective.max_latency_s", "answer_within_s", _UNCHANGED),
)
_HOST_FIELDS = (
    ("id", "id", _UNCHANGED),
    ("failure_domain", "failure_domain", _UNCHANGED),
    ("data", "address", "the address of the host with data_port"),
    ("control", "address", "the address of the host with control_port"),
    ("state", "leaving", "leaving when the answer is true"),
)
_TRAIT_FIELDS = (
    ("slots", "slots", _UNCHANGED),
    ("cold_slots", "cold_slots", _UNCHANGED),
    ("ramp_s", "warm_up_s", _UNCHANGED),
    ("connections", "connections", _UNCHANGED),
    ("weight", "relative_speed", "slots x relative_speed"),
)


def find_origins(
    answers: answers_module.Answers, key: str | None
) -> list[Origin]:
    """Return the origin of a value, or of all values below a key.

    :raises errors.UnknownName: when no value has the key.
    """
    all_origins = list(origins(answers))
    if key is None:
        return all_origins
    matching_origins = [
        origin
        for origin in all_origins
        if origin.key == key or origin.key.startswith(f"{key}.")
    ]
    if not matching_origins:
        valid_keys = _valid_keys_at_error(
            [origin.key for origin in all_origins], key
        )
        raise errors.UnknownName("configuration value", key, valid_keys)
    return matching_origins


def _valid_keys_at_error(keys: list[str], key: str) -> list[str]:
    """Return the valid keys at the level of the first invalid part."""
    parts = key.split(".")
    for depth in range(len(parts), 0, -1):
        prefix = parts[: depth - 1]
        keys_at_level = {
            ".".join(item.split(".")[:depth])
            for item in keys
            if item.split(".")[: depth - 1] == prefix
        }
        if keys_at_level:
            return sorted(keys_at_level)
    return []


def origins(
    answers: answers_module.Answers,
) -> collections.abc.Iterator[Origin]:
    """Yield the origin of every value of the configuration."""
    for domain in answers.failure_domains:
        key_prefix = f"failure_domains.{domain.name}"
        yield Origin(
            f"{key_prefix}.region",
            domain.region,
            f"failure_domains[{domain.name}].region",
            _question_text(answers_module.FailureDomain, "region"),
            _UNCHANGED,
        )
        yield Origin(
            f"{key_prefix}.out",
            None,
            None,
            "",
            "no answer: set by `bramleypin domain out` and `return`, and "
            "carried over from the previous revision",
        )
    yield Origin(
        "retired",
        None,
        None,
        "",
        "no answer: the addresses of earlier revisions that no service uses "
        "now",
    )
    for service in answers.services:
        yield from _service_origins(service)


def _service_origins(
    service: answers_module.Service,
) -> collections.abc.Iterator[Origin]:
    document = generate.service(service)
    for field, name, rule in _SERVICE_FIELDS:
        value: typing.Any = document
        for part in field.split("."):
            value = getattr(value, part)
        yield Origin(
            f"{service.name}.{field}",
            value,
            f"services[{service.name}].{name}",
            _question_text(answers_module.Service, name),
            _rule(service, name, rule),
        )
    host_by_id = {host.id: host for host in service.hosts}
    for endpoint in document.endpoints:
        host = host_by_id[endpoint.id]
        key_prefix = f"{service.name}.endpoints.{host.id}"
        answer_prefix = f"services[{service.name}].hosts[{host.id}]"
        for field, name, rule in _HOST_FIELDS:
            yield Origin(
                f"{key_prefix}.{field}",
                getattr(endpoint, field),
                f"{answer_prefix}.{name}",
                _question_text(answers_module.Host, name),
                _rule(host, name, rule),
            )
        for field, name, rule in _TRAIT_FIELDS:
            yield Origin(
                f"{key_prefix}.{field}",
                getattr(endpoint, field),
                _trait_answer(service, host, name),
                _question_text(answers_module.HostTraits, name),
                _trait_rule(service, host, name, rule),
            )


def _trait_answer(
    service: answers_module.Service, host: answers_module.Host, name: str
) -> str:
    if getattr(host, name) is not None:
        return f"services[{service.name}].hosts[{host.id}].{name}"
    return f"services[{service.name}].each_host.{name}"


def _trait_rule(
    service: answers_module.Service,
    host: answers_module.Host,
    name: str,
    rule: str,
) -> str:
    if getattr(host, name) is not None:
        return rule
    return _rule(service.each_host, name, rule)


def _rule(table: typing.Any, name: str, rule: str) -> str:
    """Return the rule, with a note if the answer is left to its default."""
    if name in table.model_fields_set:
        return rule
    return f"{rule}; not answered, so the default applies"


def _question_text(model: type[typing.Any], name: str) -> str:
    return model.model_fields[name].description or ""
