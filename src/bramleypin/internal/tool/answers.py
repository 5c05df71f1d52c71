"""What a team answers: models of the answers file (TOML).

The text of each question stands beside the field that it fills. A question
asks what a team knows; what the system needs is derived in ``generate``.
"""

import ipaddress
import re
import typing

import pydantic
import pydantic_core

NAME_PATTERN = re.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
# A caller waits at most this long for an answer (design page, 3.7).
LONGEST_REQUEST_S = 120.0

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
    """Return a field that carries its question, reason and example."""
    extra = {"reason": reason, "example": example}
    if isinstance(default, list):
        content = default
        return pydantic.Field(
            default_factory=lambda: list(content),
            description=text,
            json_schema_extra=extra,
            **bounds,
        )
    return pydantic.Field(
        default, description=text, json_schema_extra=extra, **bounds
    )


def _fault(advice: str) -> pydantic_core.PydanticCustomError:
    escaped = advice.replace("{", "{{").replace("}", "}}")
    return pydantic_core.PydanticCustomError("advice", escaped)


def _check_name(value: str) -> str:
    if NAME_PATTERN.fullmatch(value):
        return value
    raise _fault(
        "write lower-case letters, digits and hyphens, at most 63, "
        "for example mill-desk"
    )


def _check_host(value: str) -> str:
    try:
        ipaddress.IPv4Address(value)
    except ValueError:
        raise _fault(
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
    raise _fault(
        "write a numeric IPv4 address and a port, for example 10.0.0.10:5683"
    )


Name = typing.Annotated[str, pydantic.AfterValidator(_check_name)]
HostAddress = typing.Annotated[str, pydantic.AfterValidator(_check_host)]
ServiceAddress = typing.Annotated[
    str, pydantic.AfterValidator(_check_service_address)
]


class _Answers(pydantic.BaseModel):
    """Base of the tables: immutable, and strict about names and types."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class Deployment(_Answers):
    """Who the answers are from."""

    name: Name = question(
        "Short name of the deployment",
        "It appears in reports.",
        example="lone-star",
    )
    team: str = question(
        "Name of the team", "It heads the reports.", example="Lone Star"
    )


class FailureDomain(_Answers):
    """A part of the deployment that fails, or is shut down, as a whole."""

    name: Name = question(
        "Name of a failure domain",
        "Hosts that can fail together (one site, one power supply) belong to "
        "one failure domain.",
        example="waco",
    )
    region: str = question(
        "Region that it is in",
        "Failure domains of one region reach each other quickly.",
        default="",
        example="texas",
    )


class HostTraits(_Answers):
    """What each host of a service can do, unless a host says otherwise."""

    slots: int = question(
        "How many requests a host works on at the same time",
        "More than this many are never given to it.",
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
        "How many requests a host that has just started bears",
        "It gets no more than this at first, because it would fail.",
        default=1,
        example=1,
        ge=1,
        le=10_000,
    )
    warm_up_s: float = question(
        "How many seconds a host needs to warm up",
        "Its share rises to the full one over this time.",
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
    def _cold_at_most_warm(self) -> "HostTraits":
        if self.cold_slots > self.slots:
            raise _fault(
                f"cold_slots = {self.cold_slots} is more than slots = "
                f"{self.slots}; write a number from 1 to {self.slots}"
            )
        return self


class Host(_Answers):
    """One host of a service; traits left out are those of the service."""

    id: Name = question(
        "Name of a host", "It must be unique.", example="scheduler-1"
    )
    failure_domain: str = question(
        "Failure domain that the host is in",
        "It gets no packets while that failure domain is out.",
        example="waco",
    )
    address: HostAddress = question(
        "Numeric IPv4 address of the host",
        "The agent beside the endpoint listens there.",
        example="10.0.1.11",
    )
    data_port: int = question(
        "UDP port of the agent",
        "Balancers send packets of callers there.",
        default=7_000,
        example=7_000,
        ge=1,
        le=65_535,
    )
    control_port: int = question(
        "TCP port of the agent",
        "Other processes and this tool ask it for state there.",
        default=7_001,
        example=7_001,
        ge=1,
        le=65_535,
    )
    leaving: bool = question(
        "Whether the host is to leave",
        "It finishes its callers and gets no new ones.",
        default=False,
        example=False,
    )
    slots: int | None = pydantic.Field(None, ge=1, le=10_000)
    connections: int | None = pydantic.Field(None, ge=1, le=10_000_000)
    cold_slots: int | None = pydantic.Field(None, ge=1, le=10_000)
    warm_up_s: float | None = pydantic.Field(None, ge=0.0, le=3_600.0)
    relative_speed: float | None = pydantic.Field(None, gt=0.0, le=100.0)


class Service(_Answers):
    """A service that callers use."""

    name: Name = question(
        "Name of a service", "Daemons and reports use it.", example="mill-desk"
    )
    purpose: str = question(
        "What callers do with it",
        "It reminds the next reader of these answers.",
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
        "What callers speak: coap, or datagram for any other UDP protocol",
        "The promise that a request runs at most once needs coap.",
        default="coap",
        example="coap",
    )
    run_once: list[Method] = question(
        "Methods whose requests must not run twice",
        "These are never repeated unless it is certain that they did not run.",
        default=["POST", "PATCH"],
        example=["POST", "PATCH"],
    )
    longest_request_s: float = question(
        "How many seconds a request may take at the very most",
        "After that, the caller is told that the outcome is unknown.",
        default=30.0,
        example=30.0,
        gt=0.0,
        le=LONGEST_REQUEST_S,
    )
    answer_within_s: float = question(
        "Within how many seconds an answer is useful",
        "Later answers count as failed in the reports.",
        default=2.0,
        example=2.0,
        gt=0.0,
        le=LONGEST_REQUEST_S,
    )
    must_succeed: float = question(
        "What share of requests must succeed, between 0 and 1",
        "The reports say how fast the rest, the error budget, is used up.",
        default=0.999,
        example=0.999,
        gt=0.0,
        lt=1.0,
    )
    requests_per_s: float = question(
        "How many requests a second arrive in the busiest hour",
        "The hosts that are left when a failure domain is out must bear it.",
        example=60.0,
        ge=0.0,
    )
    slot_time_s: float = question(
        "How many seconds a usual host works on a request",
        "With the slots it gives how many requests a second a host bears.",
        example=0.25,
        gt=0.0,
    )
    open_callers: int = question(
        "How many callers are connected at the same time in the busiest hour",
        "The hosts that are left must be able to hold them.",
        default=0,
        example=6_000,
        ge=0,
    )
    survives_loss: bool = question(
        "Whether it must carry its load while one failure domain is out",
        "If not, the service may be overloaded until the domain returns.",
        default=True,
        example=True,
    )
    each_host: HostTraits = HostTraits()
    hosts: list[Host] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _useful_answer_in_time(self) -> "Service":
        if self.answer_within_s > self.longest_request_s:
            raise _fault(
                f"answer_within_s = {self.answer_within_s} is more than "
                f"longest_request_s = {self.longest_request_s}; write at "
                "most that"
            )
        return self

    @pydantic.model_validator(mode="after")
    def _cold_at_most_warm(self) -> "Service":
        for host in self.hosts:
            traits = self.traits(host)
            if traits.cold_slots > traits.slots:
                raise _fault(
                    f"host {host.id} has cold_slots = {traits.cold_slots}, "
                    f"more than its slots = {traits.slots}; write a number "
                    f"from 1 to {traits.slots}"
                )
        return self

    def traits(self, host: Host) -> HostTraits:
        """Return a host's traits: its own, then those of the service."""
        values = self.each_host.model_dump()
        for name in values:
            own = getattr(host, name)
            if own is not None:
                values[name] = own
        return HostTraits.model_construct(**values)


class Answers(_Answers):
    """All answers of one team."""

    deployment: Deployment
    failure_domains: list[FailureDomain] = pydantic.Field(min_length=1)
    services: list[Service] = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _names_are_unique(self) -> "Answers":
        _check_unique("failure domain", [d.name for d in self.failure_domains])
        _check_unique("service", [service.name for service in self.services])
        for service in self.services:
            ids = [host.id for host in service.hosts]
            _check_unique(f"host of service {service.name}", ids)
        return self

    @pydantic.model_validator(mode="after")
    def _domains_are_known(self) -> "Answers":
        known = [domain.name for domain in self.failure_domains]
        for service in self.services:
            for host in service.hosts:
                if host.failure_domain not in known:
                    raise _fault(
                        f"host {host.id} of service {service.name} is in the "
                        f"unknown failure domain {host.failure_domain!r}; "
                        f"write one of: {', '.join(known)}, or add it to "
                        "failure_domains"
                    )
        return self


def _check_unique(kind: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise _fault(
                f"the {kind} {name!r} appears twice; give each its own name"
            )
        seen.add(name)
