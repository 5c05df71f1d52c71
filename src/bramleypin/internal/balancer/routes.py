"""Routes to agents, each with the encoded start of its FORWARD frames.

All flows of one service address at one agent share a route, so a change of
the view costs one check per route rather than one per flow.
"""

import collections
import dataclasses

from bramleypin.internal import address
from bramleypin.internal.balancer import agents as agents_module
from bramleypin.internal.balancer import flow_key
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import view as view_module
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin as pin_module

MAX_ROUTES = 65_536
# The epoch of routes that are new or invalid, so that they are checked before
# use.
NO_EPOCH = -1

# The code is the second byte of a CoAP message.
_COAP_CODE_OFFSET = flow_key.KEY_BYTES + 1
# For other protocols, the offset of the PROXY header byte that is always 0x21.
# This is not a CoAP request code, so their datagrams never count as requests.
_NON_COAP_CODE_OFFSET = 12


@dataclasses.dataclass(slots=True)
class Route:
    """The route to one agent for the flows of one service address.

    ``frame_prefix`` is sent before CoAP datagrams with a pin and before all
    datagrams of other protocols; ``unpinned_prefix`` before CoAP
    datagrams without a pin. Both are valid while ``epoch`` equals the agent
    table's epoch. Once ``invalid``, a route is never used again.
    ``code_offset`` is the offset of the CoAP code in a proxied datagram.
    """

    epoch: int
    frame_prefix: bytes
    owner: address.Address
    code_offset: int
    unpinned_prefix: bytes
    service: str
    service_address: address.Address
    incarnation: int
    is_coap: bool
    invalid: bool = False


class Routes:
    """Routes by service address and agent, for the current view."""

    def __init__(
        self, kernel: kernel_module.Kernel, agents: agents_module.AgentTable
    ):
        self._view_store = kernel.get("view")
        self._return_address = kernel.get("port").address
        self._nonce = kernel.environment.random.getrandbits(63)
        self.agents = agents
        self.view: view_module.View = self._view_store.view
        self._out_domain_codes: frozenset[int] = frozenset()
        self._route_by_key: collections.OrderedDict[
            tuple[address.Address, address.Address], Route
        ] = collections.OrderedDict()

    def refresh_view(self) -> None:
        """Switch to the current view; if it changed, recheck all routes."""
        if self._view_store.view is self.view:
            return
        self.view = self._view_store.view
        self._out_domain_codes = frozenset(
            pin_module.failure_domain_code(name)
            for name in self.view.manifest.failure_domain_by_name
            if self.view.is_out(name)
        )
        self.agents.epoch += 1

    def record_incarnation(
        self, agent: address.Address, incarnation: int
    ) -> None:
        """Record an agent's incarnation; drop its routes if it restarted."""
        if self.agents.record_incarnation(agent, incarnation):
            self.invalidate_routes(agent)

    def invalidate_routes(self, agent: address.Address) -> None:
        """Invalidate the routes to an agent.

        The owners of its flows without a pin are then looked up again.
        """
        for key in [key for key in self._route_by_key if key[1] == agent]:
            self._invalidate(self._route_by_key.pop(key))

    def _invalidate(self, route: Route) -> None:
        route.invalid = True
        route.epoch = NO_EPOCH

    def get(
        self,
        service: view_module.ServiceView,
        service_address: address.Address,
        owner: address.Address,
        incarnation: int,
    ) -> Route:
        """Return the route to an agent; create it if it is missing.

        The route is not checked against the view: call ``validate``, or
        ``is_owner_out`` and then ``refresh``, before using it.
        """
        key = (service_address, owner)
        route = self._route_by_key.get(key)
        if route is None or route.service != service.name:
            is_coap = service.protocol == "coap"
            route = Route(
                epoch=NO_EPOCH,
                frame_prefix=b"",
                owner=owner,
                code_offset=(
                    _COAP_CODE_OFFSET if is_coap else _NON_COAP_CODE_OFFSET
                ),
                unpinned_prefix=b"",
                service=service.name,
                service_address=service_address,
                incarnation=incarnation,
                is_coap=is_coap,
            )
            self._route_by_key[key] = route
            if len(self._route_by_key) > MAX_ROUTES:
                self._invalidate(self._route_by_key.popitem(last=False)[1])
        return route

    def validate(self, route: Route) -> bool:
        """Return whether a flow without a pin may be sent on a route.

        A valid route is refreshed and may be used until the epoch changes.
        """
        if route.epoch == self.agents.epoch:
            return not self.agents.is_unavailable(route.owner)
        service = self.view.service(route.service)
        if (
            route.invalid
            or service is None
            or self.view.service_at(route.service_address) != route.service
            or self.agents.is_unavailable(route.owner)
            or self.is_owner_out(service, route.owner, None)
        ):
            return False
        self.refresh(route)
        return True

    def is_owner_out(
        self,
        service: view_module.ServiceView,
        owner: address.Address,
        failure_domain_code: int | None,
    ) -> bool:
        """Return whether an agent is in a failure domain that is out.

        The domain is read from the current and earlier versions of the
        service. For agents in none of them, ``failure_domain_code`` of the
        pin is used, which is only a 16-bit hash.
        """
        for version in (service, *self.view.earlier_versions(service.name)):
            for endpoint in version.endpoints:
                if endpoint.data == owner:
                    return self.view.is_out(endpoint.failure_domain)
        return failure_domain_code in self._out_domain_codes

    def refresh(self, route: Route) -> None:
        """Encode a route's frame prefixes for the current view."""
        if route.epoch == self.agents.epoch:
            return
        known_incarnation = self.agents.incarnation(route.owner)
        route.incarnation = known_incarnation or route.incarnation
        # The prefix ends before the flow's addresses, so any address works.
        placeholder = address.Address("0.0.0.0", 0)
        route.unpinned_prefix = frames.forward_prefix(
            self.build_forward(route, placeholder)
        )
        pinned_forward = self.build_forward(
            route, placeholder, pinned=route.is_coap
        )
        route.frame_prefix = frames.forward_prefix(pinned_forward)
        route.epoch = self.agents.epoch

    def build_forward(
        self,
        route: Route,
        caller: address.Address,
        pinned: bool = False,
        opening: bool = False,
        elapsed_us: int = 0,
        candidates: tuple[frames.Candidate, ...] = (),
    ) -> frames.Forward:
        """Return the FORWARD frame for a caller's datagram on a route.

        ``pinned`` and ``opening`` set the frame's ``pinned`` and ``open``.
        ``elapsed_us`` is the time in microseconds since the datagram arrived.
        """
        return frames.Forward(
            nonce=self._nonce,
            incarnation=route.incarnation,
            revision=self.view.revision,
            service=route.service,
            service_address=route.service_address,
            caller=caller,
            return_address=self._return_address,
            pinned=pinned,
            open=opening,
            elapsed_us=elapsed_us,
            candidates=candidates,
        )
