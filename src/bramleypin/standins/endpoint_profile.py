"""Behaviour settings and records of the simulated endpoint."""

import dataclasses
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal.wire import coap


@dataclasses.dataclass
class Profile:
    """Behaviour of a simulated endpoint; times are in seconds.

    A request takes ``service_time_s / speed``, exponentially distributed if
    ``exponential`` is set, and ``cold_factor`` times that while cold. While
    cold, the endpoint crashes when it gets more requests than the ramp allows,
    and it restarts ``restart_s`` later; if that is ``None``, it waits for
    ``restart``. Its health report describes the state ``report_lag_s``
    earlier, modified by ``falsify_report`` if that is set. Without
    ``serves_health_report``, requests for the report get 4.04, and without
    ``supports_cancel``, cancellations get 4.02. At most ``queue_limit``
    requests wait for a slot; more are shed. Later blocks of an answer take
    ``block_time_s`` each.
    """

    slots: int = 5
    cold_slots: int = 1
    ramp_s: float = 0.0
    service_time_s: float = 0.02
    speed: float = 1.0
    exponential: bool = False
    cold_factor: float = 1.0
    queue_limit: int = 0
    restart_s: float | None = 1.0
    block_time_s: float = 0.001
    report_lag_s: float = 0.0
    falsify_report: typing.Callable[[dict], dict] | None = None
    serves_health_report: bool = True
    supports_cancel: bool = True


@dataclasses.dataclass
class Execution:
    """One execution of a request; ``finished_s`` is ``None`` until it ends.

    ``key`` is the request's body, or its path when it has none.
    """

    method: str
    path: str
    key: bytes
    instance: int
    started_s: float
    finished_s: float | None = None


@dataclasses.dataclass(eq=False)
class Job:
    """A queued or running request at the endpoint."""

    message: coap.Message
    source: address.Address
    key: bytes
    started: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    cancelled: bool = False
    acknowledged: bool = False


@dataclasses.dataclass(frozen=True)
class TimedReport:
    """A health report and the time of the state that it describes."""

    time_s: float
    report: dict
