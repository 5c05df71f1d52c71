"""The broken variants: each disables or inverts one decision of the code.

Each is registered with the promise that it breaks and the cells in which the
checker must report the violation.
"""

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


def _return_none(*_: typing.Any, **__: typing.Any) -> None:
    return None


def _return_true(*_: typing.Any, **__: typing.Any) -> bool:
    return True


def _return_false(*_: typing.Any, **__: typing.Any) -> bool:
    return False


async def _return_immediately(*_: typing.Any) -> None:
    return None


@registries.variant(
    "drop-the-ticket",
    "P7",
    "datagram-lost@running",
)
def drop_the_ticket() -> Undo:
    """The agent does not look up whether it has seen a request before."""
    return variants.replace_attribute(
        request_execution.RecordTable, "get", _return_none
    )


@registries.variant(
    "forget-the-record",
    "P7",
    "datagram-lost@running",
)
def forget_the_record() -> Undo:
    """The agent keeps no record of the requests that it has started."""
    return variants.replace_attribute(
        request_execution.RecordTable, "add", _return_true
    )


@registries.variant("not-run-too-early", "P6", "endpoint-crashes@running")
def not_run_too_early() -> Undo:
    """The agent answers "not run" when the outcome is unknown."""
    return variants.replace_attribute(
        request_runner, "unknown", request_runner.not_run
    )


@registries.variant("repeat-the-unknown", "P7", "endpoint-crashes@running")
def repeat_the_unknown() -> Undo:
    """The client retries a non-idempotent request that may have run."""
    return variants.replace_attribute(
        client_module, "_is_repeatable", _return_true
    )


@registries.variant("accept-any-pin", "P7", "agent-restarts@running")
def accept_any_pin() -> Undo:
    """The agent accepts a non-idempotent request with an outdated pin.

    Such a pin names an agent process that no longer runs.
    """
    return variants.replace_attribute(
        request_handler.RequestHandler, "_check_pin", _return_none
    )


@registries.variant("keep-the-first-view", "P10", "balancer-joins@pinned")
def keep_the_first_view() -> Undo:
    """A process rejects every revision after its first one."""
    original = view.advance

    def advance(
        current: view.View,
        manifest: configuration.Manifest,
        *rest: typing.Any,
    ) -> view.View:
        if current.revision:
            raise errors.StaleRevision(manifest.revision, current.revision)
        return original(current, manifest, *rest)

    return variants.replace_attribute(view, "advance", advance)


@registries.variant(
    "ignore-the-lease",
    "P4",
    "balancer-paused+domain-out@running",
    "balancer-paused+domain-out@pinned",
    "balancer-paused+domain-out@closing",
    "balancer-paused+domain-out@blocks-half-sent",
)
def ignore_the_lease() -> Undo:
    """A balancer that was paused forwards without refreshing its view."""
    return variants.replace_attribute(lease.Lease, "is_valid", _return_true)


@registries.variant("match-by-order", "P5", "balancer-joins@before-first")
def match_by_order() -> Undo:
    """An answer is matched to the oldest request of the flow."""

    def dispatch(
        self: channel.Channel, message: typing.Any, on_drop: typing.Any
    ) -> None:
        for exchange in list(self._exchange_by_token.values()):
            if message.code:
                exchange.finish(channel.ExchangeResult.ANSWERED, message)
                return

    return variants.replace_attribute(channel.Channel, "_dispatch", dispatch)


@registries.variant("skip-the-cold-ramp", "P3", "endpoint-crashes@running")
def skip_the_cold_ramp() -> Undo:
    """A cold endpoint is given as many requests as a warm one."""

    def limit(self: cold_ramp.ColdRamp, endpoint: view.EndpointView) -> int:
        return endpoint.slots

    return variants.replace_attributes(
        (cold_ramp.ColdRamp, "limit", limit),
        (cold_ramp.ColdRamp, "is_cold", _return_false),
    )


@registries.variant("ignore-leaving", "P8", "balancer-joins@before-first")
def ignore_leaving() -> Undo:
    """A leaving endpoint is given new flows like any other."""
    original = view._endpoint_view

    def endpoint_view(endpoint: configuration.Endpoint) -> view.EndpointView:
        return original(
            configuration.msgspec.structs.replace(endpoint, state="in_service")
        )

    return variants.replace_attributes(
        (view, "_endpoint_view", endpoint_view),
        (own_endpoint.OwnEndpoint, "is_leaving", _return_false),
    )


@registries.variant("ignore-out", "P4", "domain-out@running")
def ignore_out() -> Undo:
    """A failure domain that is out of service is treated as in service."""
    return variants.replace_attribute(view.View, "is_out", _return_false)


@registries.variant(
    "skip-the-service-check", "P2", "balancer-joins@before-first"
)
def skip_the_service_check() -> Undo:
    """An address that has moved keeps resolving to its old service.

    The agent does not check that a request names its own service either.
    """

    def service_at(self: view.View, at: typing.Any) -> str | None:
        for entry in self.earlier_by_service.items():
            name, encoded = entry
            for item in encoded:
                if at in self._decode(item, name).addresses:
                    return name
        return self.service_by_address.get(at)

    return variants.replace_attributes(
        (view.View, "service_at", service_at),
        (own_endpoint.OwnEndpoint, "may_deliver", _return_true),
    )


@registries.variant("drop-work-at-shutdown", "P9", "balancer-joins@draining")
def drop_work_at_shutdown() -> Undo:
    """An agent shuts down without waiting for running requests."""
    return variants.replace_attribute(
        flows.Flows, "drain", _return_immediately
    )
