"""Settings of daemons that carry stream flows."""

import dataclasses

from bramleypin.internal import address
from bramleypin import settings as settings_module


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits set by the deployment; times are in seconds.

    ``shutdown_grace_s`` is the time between SIGTERM and SIGKILL,
    ``reregistration_s`` the time within which a live endpoint registers again
    after an outage of the metadata store, and ``flow_lifetime_s`` the age
    above which a flow may be discarded. A cold endpoint may receive at most
    ``cold_factor`` times its announced rate plus ``cold_burst`` requests in
    any second. A change accepted by the store must be in force within
    ``change_s``.
    """

    shutdown_grace_s: float = 6.0
    reregistration_s: float = 2.0
    flow_lifetime_s: float = 60.0
    cold_factor: float = 1.5
    cold_burst: float = 5.0
    change_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """The settings that a daemon reads when it starts.

    ``ingress`` is the UDP address that receives callers' packets; only
    balancers use it. ``peers`` is the address for other daemons, which send
    frames over UDP and fetch views over TCP; its port is the same on every
    machine. ``readiness`` is the TCP address of the readiness check and
    ``readiness_path`` its HTTP path. Packets for a caller are sent to the
    caller's host at ``caller_port``. ``endpoint`` is the UDP address of the
    endpoint and ``outbound`` the one that receives the endpoint's packets;
    only agents have them. ``seeds`` are daemons to fetch a view from when
    the metadata store is unavailable. Metrics are served at
    ``metrics_address`` unless it is ``None``. ``is_first_start`` is true when
    the whole deployment starts for the first time.
    """

    role: str
    id: str
    failure_domain: str
    ingress: address.Address
    peers: address.Address
    readiness: address.Address
    seeds: tuple[address.Address, ...]
    caller_port: int
    readiness_path: str = "/ready"
    service: str = ""
    endpoint: address.Address | None = None
    outbound: address.Address | None = None
    bounds: Bounds = Bounds()
    log_level: str = "INFO"
    is_first_start: bool = False
    metrics_address: address.Address | None = None
    metrics: settings_module.Metrics = settings_module.Metrics()

    @property
    def host(self) -> str:
        """The machine's IPv4 address, in dotted notation."""
        return self.peers.host
