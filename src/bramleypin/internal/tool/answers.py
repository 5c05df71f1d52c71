"""Models of the answers file (TOML) of the questionnaire.

Each field carries the text of its question. The questions ask for facts that a
team knows; ``generate`` derives the configuration from the answers.
"""

import ipaddress
import re
import typing

import pydantic
import pydantic_core

NAME_PATTERN = re.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
# The longest time that a caller waits for an answer (design page, 3.7).
MAX_REQUEST_DURATION_S = 120.0

Method = typing.Literal[
    "GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "iPATCH"
]


def question(
    text: str,
    reason: str,
    default: typing.Any = pydantic_core.PydanticUndefined,
    example: typing.Any = None,
    **bounds: typing.Any,
) -> typing.Any:
    """Return a model field with a question as its description.

    ``reason`` explains why the question is asked. It is stored with
    ``example`` as JSON schema metadata; ``bounds`` go to ``pydantic.Field``.
    """
    extra = {"reason": reason, "example": example}
    if isinstance(default, list):
        default_items = default
        return pydantic.Field(
            default_factory=lambda: list(default_items),
            description=text,
            json_schema_extra=extra,
            **bounds,
        )
    return pydantic.Field(
        default, description=text, json_schema_extra=extra, **bounds
    )


def _custom_error(advice: str) -> pydantic_core.PydanticCustomError:
    escaped = advice.replace("{", "{{").replace("}", "}}")
    return pydantic_core.PydanticCustomError("advice", escaped)


def _check_name(value: str) -> str:
    if NAME_PATTERN.fullmatch(value):
        return value
    raise _custom_error(
        "write lower-case letters, digits and hyphens, at most 63, "
        "for example mill-desk"
    )


def _check_host(value: str) -> str:
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        raise _custom_error(
            "write a numeric IPv4 address without a port, "
            "for example 10.0.1.11"
        ) from None
    return value


def _check_service_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = 1 <= int(port) <= 65535
    except ValueError:
        valid = False
    if valid:
        return f"{host}:{int(port)}"
    raise _custom_error(
        "write a numeric IPv4 address and a port, for example 10.0.0.10:5683"
    )


Name = typing.Annotated[str, pydantic.AfterValidator(_check_name)]
HostAddress = typing.Annotated[str, pydantic.AfterValidator(_check_host)]
ServiceAddress = typing.Annotated[
    str, pydantic.AfterValidator(_check_service_address)
]


class _AnswerModel(pydantic.BaseModel):
    """Base model: frozen, without unknown keys or type conversion."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class Deployment(_AnswerModel):
    """The deployment that the answers describe, and its team."""

    name: Name = question(
        "Short name of the deployment",
        "It appears in reports.",
        example="lone-star",
    )
    team: str = question(
        "Name of the team", "It heads the reports.", example="Lone Star"
    )


class FailureDomain(_AnswerModel):
    """A part of the deployment that fails or is shut down as a whole."""

    name: Name = question(
        "Name of a failure domain",
        "Hosts that can fail together (one site, one power supply) belong to "
        "one failure domain.",
        example="waco",
    )
    region: str = question(
        "Region of the failure domain",
        "Failure domains of one region reach each other quickly.",
        default="",
        example="texas",
    )


class HostTraits(_AnswerModel):
    """Capacity and speed of each host of a service.

    A host can override individual values.
    """

    slots: int = question(
        "How many requests a host works on at the same time",
        "It never gets more than this many at once.",
        default=4,
        example=5,
        ge=1,
        le=10_000,
    )
    connections: int = question(
        "How many callers a host can hold open at the same time",
        "A host that holds this many gets no new callers.",
        default=2_000,
        example=2_000,
        ge=1,
        le=10_000_000,
    )
    cold_slots: int = question(
        "How many requests a host that has just started can handle",
        "It gets no more than this at first, because more would make it fail.",
        default=1,
        example=1,
        ge=1,
        le=10_000,
    )
    warm_up_s: float = question(
        "How many seconds a host needs to warm up",
        "Its share of the requests rises to the full share over this time.",
        default=30.0,
        example=30.0,
        ge=0.0,
        le=3_600.0,
    )
    relative_speed: float = question(
        "How fast a host is, where 1 is the usual host",
        "A host of speed 2 gets twice the work.",
        default=1.0,
        example=1.0,
        gt=0.0,
        le=100.0,
    )

    @pydantic.model_validator(mode="after")
    def _check_cold_slots(self) -> "HostTraits":
        if self.cold_slots > self.slots:
            raise _custom_error(
                f"cold_slots = {self.cold_slots} is more than slots = "
                f"{self.slots}; write a number from 1 to {self.slots}"
            )
        return self


class Host(_AnswerModel):
    """One host of a service.

    Traits that are not given default to those of the service's ``each_host``.
    """

    id: Name = question(
        "Name of a host", "It must be unique.", example="scheduler-1"
    )
    failure_domain: str = question(
        "Failure domain of the host",
        "The host gets no packets while this failure domain is out.",
        example="waco",
    )
    address: HostAddress = question(
        "Numeric IPv4 address of the host",
        "The agent that runs beside the endpoint listens on it.",
        example="10.0.1.11",
    )
    data_port: int = question(
        "UDP port of the agent",
        "Balancers send the packets of callers to it.",
        default=7_000,
        example=7_000,
        ge=1,
        le=65_535,
    )
    control_port: int = question(
        "TCP port of the agent",
        "Other processes and this tool query the state of the agent on it.",
        default=7_001,
        example=7_001,
        ge=1,
        le=65_535,
    )
    leaving: bool = question(
        "Whether the host is to leave the service",
        "It keeps its callers until they finish and gets no new ones.",
        default=False,
        example=False,
    )
    slots: int | None = pydantic.Field(None, ge=1, le=10_000)
    connections: int | None = pydantic.Field(None, ge=1, le=10_000_000)
    cold_slots: int | None = pydantic.Field(None, ge=1, le=10_000)
    warm_up_s: float | None = pydantic.Field(None, ge=0.0, le=3_600.0)
    relative_speed: float | None = pydantic.Field(None, gt=0.0, le=100.0)


class Service(_AnswerModel):
    """A service, its objective, its load and its hosts."""

    name: Name = question(
        "Name of a service",
        "It identifies the service in daemons and reports.",
        example="mill-desk",
    )
    purpose: str = question(
        "What callers use the service for",
        "It documents the service for later readers of the answers.",
        default="",
        example="Crews book appointments.",
    )
    addresses: list[ServiceAddress] = question(
        "Addresses and ports that callers send to",
        "A packet for one of these addresses reaches only this service.",
        example=["10.0.0.10:5683"],
        min_length=1,
    )
    protocol: typing.Literal["coap", "datagram"] = question(
        "Protocol of callers: coap, or datagram for any other UDP protocol",
        "The promise that a request runs at most once requires coap.",
        default="coap",
        example="coap",
    )
    run_once: list[Method] = question(
        "Methods whose requests must not run twice",
        "They are never repeated unless it is certain that they did not run.",
        default=["POST", "PATCH"],
        example=["POST", "PATCH"],
    )
    longest_request_s: float = question(
        "How many seconds a request may take at most",
        "After this time, the caller is told that the outcome is unknown.",
        default=30.0,
        example=30.0,
        gt=0.0,
        le=MAX_REQUEST_DURATION_S,
    )
    answer_within_s: float = question(
        "Within how many seconds an answer is useful",
        "The reports count later answers as bad requests.",
        default=2.0,
        example=2.0,
        gt=0.0,
        le=MAX_REQUEST_DURATION_S,
    )
    must_succeed: float = question(
        "What share of requests must succeed, between 0 and 1",
        "The reports show how fast the remaining share, the error budget, is "
        "used up.",
        default=0.999,
        example=0.999,
        gt=0.0,
        lt=1.0,
    )
    requests_per_s: float = question(
        "How many requests a second arrive in the busiest hour",
        "The remaining hosts must carry this load while a failure domain is "
        "out of service.",
        example=60.0,
        ge=0.0,
    )
    slot_time_s: float = question(
        "How many seconds a usual host works on a request",
        "Together with the slots, it gives the requests per second that a "
        "host can serve.",
        example=0.25,
        gt=0.0,
    )
    open_callers: int = question(
        "How many callers are connected at the same time in the busiest hour",
        "The remaining hosts must be able to hold them while a failure domain "
        "is out of service.",
        default=0,
        example=6_000,
        ge=0,
    )
    survives_loss: bool = question(
        "Whether the service must carry its load while one failure domain is "
        "out of service",
        "If not, it may be overloaded until the domain returns.",
        default=True,
        example=True,
    )
    each_host: HostTraits = HostTraits()
    hosts: list[Host] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _check_answer_time(self) -> "Service":
        if self.answer_within_s > self.longest_request_s:
            raise _custom_error(
                f"answer_within_s = {self.answer_within_s} is more than "
                f"longest_request_s = {self.longest_request_s}; write at "
                "most longest_request_s"
            )
        return self

    @pydantic.model_validator(mode="after")
    def _check_cold_slots(self) -> "Service":
        for host in self.hosts:
            traits = self.traits(host)
            if traits.cold_slots > traits.slots:
                raise _custom_error(
                    f"host {host.id} has cold_slots = {traits.cold_slots}, "
                    f"more than its slots = {traits.slots}; write a number "
                    f"from 1 to {traits.slots}"
                )
        return self

    def traits(self, host: Host) -> HostTraits:
        """Return a host's traits: its overrides, else the service's values."""
        values = self.each_host.model_dump()
        for name in values:
            override = getattr(host, name)
            if override is not None:
                values[name] = override
        return HostTraits.model_construct(**values)


class Answers(_AnswerModel):
    """All answers for one deployment."""

    deployment: Deployment
    failure_domains: list[FailureDomain] = pydantic.Field(min_length=1)
    services: list[Service] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _check_unique_names(self) -> "Answers":
        _check_unique(
            "failure domain", [domain.name for domain in self.failure_domains]
        )
        _check_unique("service", [service.name for service in self.services])
        for service in self.services:
            ids = [host.id for host in service.hosts]
            _check_unique(f"service {service.name}: host", ids)
        return self

    @pydantic.model_validator(mode="after")
    def _check_known_domains(self) -> "Answers":
        domains = [domain.name for domain in self.failure_domains]
        for service in self.services:
            for host in service.hosts:
                if host.failure_domain not in domains:
                    raise _custom_error(
                        f"host {host.id} of service {service.name} is in the "
                        f"unknown failure domain {host.failure_domain!r}; "
                        f"write one of: {', '.join(domains)}, or add it to "
                        "failure_domains"
                    )
        return self


def _check_unique(kind: str, names: list[str]) -> None:
    seen_names: set[str] = set()
    for name in names:
        if name in seen_names:
            raise _custom_error(
                f"{kind} {name!r} appears twice; give each its own name"
            )
        seen_names.add(name)
