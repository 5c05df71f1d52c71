"""Settings of a daemon that carries stream flows."""

import dataclasses

from bramleypin.internal import address
from bramleypin import settings as settings_module


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Times that the deployment sets; all in seconds.

    ``shutdown_grace_s`` is the time between SIGTERM and SIGKILL,
    ``lapsed_entry_s`` the time within which an endpoint that is alive is
    listed again after an outage of the metadata store, ``flow_lifetime_s``
    the age above which a flow may be discarded. A cold endpoint may get
    ``cold_factor`` times its announced rate and ``cold_burst`` requests more
    in any second. A change that the store has accepted must be in force
    within ``change_s``.
    """

    shutdown_grace_s: float = 6.0
    lapsed_entry_s: float = 2.0
    flow_lifetime_s: float = 60.0
    cold_factor: float = 1.5
    cold_burst: float = 5.0
    change_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class StreamSettings:
    """Everything that such a daemon learns when it starts.

    ``ingress`` is the UDP address for packets of callers; only balancers
    read it. ``peers`` is the address for other daemons: frames over UDP, the
    exchange of views over TCP; its port is the same on every machine.
    ``readiness_path`` is what the fabric asks for at ``readiness``.
    Packets for a caller go to the caller's host at ``caller_port``.
    ``endpoint`` and ``outbound`` are the UDP addresses of the endpoint and
    for the endpoint's packets; only agents have them. ``seeds`` are daemons
    that may know more when the metadata store cannot be reached. Metrics are
    served at ``metrics_address``, if there is one.
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
    metrics_address: address.Address | None = None
    metrics: settings_module.Metrics = settings_module.Metrics()

    @property
    def host(self) -> str:
        """The machine's IPv4 address, in dotted notation."""
        return self.peers.host
