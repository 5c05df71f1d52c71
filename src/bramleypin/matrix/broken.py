"""The broken variants: decisions of the product, each made wrongly."""

import typing

from bramleypin import client as client_module
from bramleypin import errors
from bramleypin.internal.agent import channel
from bramleypin.internal.agent import cold_ramp
from bramleypin.internal.agent import flows
from bramleypin.internal.agent import own_endpoint
from bramleypin.internal.agent import request_execution
from bramleypin.internal.agent import request_handler
from bramleypin.internal.agent import request_runner
from bramleypin.internal.membership import lease
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view
from bramleypin.matrix import registries
from bramleypin.matrix import variants

Undo = typing.Callable[[], None]


def _nothing(*_: typing.Any, **__: typing.Any) -> None:
    return None


def _true(*_: typing.Any, **__: typing.Any) -> bool:
    return True


def _false(*_: typing.Any, **__: typing.Any) -> bool:
    return False


async def _at_once(*_: typing.Any) -> None:
    return None


@registries.variant(
    "drop-the-ticket",
    "P7",
    "datagram-lost@running",
)
def drop_the_ticket() -> Undo:
    """The agent does not look up whether a request was seen before."""
    return variants.replace(request_execution.RecordTable, "get", _nothing)


@registries.variant(
    "forget-the-record",
    "P7",
    "datagram-lost@running",
)
def forget_the_record() -> Undo:
    """The agent keeps no record of what it has begun."""
    return variants.replace(request_execution.RecordTable, "add", _true)


@registries.variant("not-run-too-early", "P6", "endpoint-crashes@running")
def not_run_too_early() -> Undo:
    """The agent says "not run" where it cannot know."""
    return variants.replace(request_runner, "unknown", request_runner.not_run)


@registries.variant("repeat-the-unknown", "P7", "endpoint-crashes@running")
def repeat_the_unknown() -> Undo:
    """The client repeats a booking that may have run."""
    return variants.replace(client_module, "_is_repeatable", _true)


@registries.variant("accept-any-pin", "P7", "agent-restarts@running")
def accept_any_pin() -> Undo:
    """A non-idempotent request runs under a pin of a dead agent."""
    return variants.replace(
        request_handler.RequestHandler, "_check_pin", _nothing
    )


@registries.variant("keep-the-first-view", "P10", "balancer-joins@pinned")
def keep_the_first_view() -> Undo:
    """A process takes over no revision after its first one."""
    before = view.advance

    def advance(
        current: view.View,
        manifest: configuration.Manifest,
        *rest: typing.Any,
    ) -> view.View:
        if current.revision:
            raise errors.StaleRevision(manifest.revision, current.revision)
        return before(current, manifest, *rest)

    return variants.replace(view, "advance", advance)


@registries.variant(
    "ignore-the-lease",
    "P4",
    "balancer-paused+domain-out@running",
    "balancer-paused+domain-out@pinned",
    "balancer-paused+domain-out@closing",
    "balancer-paused+domain-out@blocks-half-sent",
)
def ignore_the_lease() -> Undo:
    """A balancer forwards after a pause without refreshing its view."""
    return variants.replace(lease.Lease, "is_valid", _true)


@registries.variant("match-by-order", "P5", "balancer-joins@before-first")
def match_by_order() -> Undo:
    """An answer is taken for the oldest request of the flow."""

    def dispatch(
        self: channel.Channel, message: typing.Any, on_drop: typing.Any
    ) -> None:
        for exchange in list(self._exchange_by_token.values()):
            if message.code:
                exchange.finish(channel.ExchangeResult.ANSWERED, message)
                return

    return variants.replace(channel.Channel, "_dispatch", dispatch)


@registries.variant("skip-the-cold-ramp", "P3", "endpoint-crashes@running")
def skip_the_cold_ramp() -> Undo:
    """A cold endpoint is given as much as a warm one."""

    def limit(self: cold_ramp.ColdRamp, endpoint: view.EndpointView) -> int:
        return endpoint.slots

    return variants.replace_all(
        (cold_ramp.ColdRamp, "limit", limit),
        (cold_ramp.ColdRamp, "is_cold", _false),
    )


@registries.variant("ignore-leaving", "P8", "balancer-joins@before-first")
def ignore_leaving() -> Undo:
    """A leaving endpoint gets new flows as any other."""
    before = view._endpoint_view

    def endpoint_view(endpoint: configuration.Endpoint) -> view.EndpointView:
        return before(
            configuration.msgspec.structs.replace(endpoint, state="in_service")
        )

    return variants.replace_all(
        (view, "_endpoint_view", endpoint_view),
        (own_endpoint.OwnEndpoint, "is_leaving", _false),
    )


@registries.variant("ignore-out", "P4", "domain-out@running")
def ignore_out() -> Undo:
    """A failure domain that is out is treated as in service."""
    return variants.replace(view.View, "is_out", _false)


@registries.variant(
    "skip-the-service-check", "P2", "balancer-joins@before-first"
)
def skip_the_service_check() -> Undo:
    """An address keeps its old service, and the agent does not check."""

    def service_at(self: view.View, at: typing.Any) -> str | None:
        for versions in self.earlier_by_service.items():
            name, encoded = versions
            for item in encoded:
                if at in self._decode(item, name).addresses:
                    return name
        return self.service_by_address.get(at)

    return variants.replace_all(
        (view.View, "service_at", service_at),
        (own_endpoint.OwnEndpoint, "may_deliver", _true),
    )


@registries.variant("drop-work-at-shutdown", "P9", "balancer-joins@draining")
def drop_work_at_shutdown() -> Undo:
    """An agent that is told to stop does so in the midst of requests."""
    return variants.replace(flows.Flows, "drain", _at_once)
