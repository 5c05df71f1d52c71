"""Fetches the view from other daemons when the store is unavailable."""

import typing

import anyio
import cbor2
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import environment
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import view as view_module

POLL_INTERVAL_S = 0.25
# Other daemons are asked only after the store has had this long to answer.
STORE_GRACE_S = 0.4
FETCH_TIMEOUT_S = 1.0
SERVE_TIMEOUT_S = 2.0

VIEWS_FETCHED = metrics.declare(
    "stream.views_fetched", "counter", "views", "Views of other daemons."
)
VIEWS_NOT_NEWER = metrics.declare(
    "stream.views_not_newer",
    "counter",
    "answers",
    "Answers of daemons that were asked for a newer view and had none.",
)
# Answer of a daemon without a newer view. A closed link would look like one
# that failed.
NO_NEWER_VIEW = b""

_log = logs.get("exchange")


class ViewRequest(msgspec.Struct, array_like=True):
    """The revision, version and era of the requesting daemon's view."""

    revision: int
    version: int
    era: frames.Era = 0


class ViewAnswer(msgspec.Struct, array_like=True):
    """A complete view.

    ``routes`` and ``services`` are ``None`` when both daemons have the same
    configuration version. ``cold_s`` of an endpoint is the cold time that
    remains when the answer is sent, in seconds. ``domains_out`` are the
    failure domains that are out of service, and ``lapsed_ids`` the endpoints
    that will be removed unless they register again.
    """

    revision: int
    version: int
    idle_s: float
    routes: list[view_module.Route] | None
    services: list[view_module.Service] | None
    endpoints: list[view_module.Endpoint]
    domains_out: list[str]
    lapsed_ids: list[str]
    era: frames.Era = 0


def build_answer(
    request: ViewRequest,
    view: view_module.View,
    now_s: float,
    lapsed_ids: typing.Iterable[str] = (),
) -> ViewAnswer:
    """Return the answer to a daemon with an older view."""
    configuration = view.configuration
    same_version = request.version == configuration.version
    routes = list(configuration.route_by_address.values())
    endpoints = [
        view_module.with_cold_time(
            endpoint, endpoint.remaining_cold_s(now_s), 0.0
        )
        for endpoint in view.endpoint_by_id.values()
    ]
    return ViewAnswer(
        view.revision,
        configuration.version,
        configuration.idle_s,
        None if same_version else routes,
        None if same_version else list(configuration.service_by_name.values()),
        endpoints,
        sorted(view.domains_out),
        list(lapsed_ids),
        view.era,
    )


def view_from_answer(
    answer: ViewAnswer,
    own_configuration: view_module.Configuration,
    now_s: float,
) -> view_module.View:
    """Return the view that an answer describes.

    :raises errors.InvalidFrame: when the answer omits a configuration that
        this daemon does not have.
    """
    configuration = own_configuration
    if answer.routes is not None and answer.services is not None:
        configuration = view_module.Configuration(
            answer.version,
            {(route.host, route.port): route for route in answer.routes},
            {service.name: service for service in answer.services},
            answer.idle_s,
        )
    elif answer.version != own_configuration.version:
        raise errors.InvalidFrame("no_configuration", str(answer.version))
    return view_module.View(
        answer.revision,
        configuration,
        {
            endpoint.id: view_module.with_cold_time(
                endpoint, endpoint.cold_s, now_s
            )
            for endpoint in answer.endpoints
        },
        frozenset(answer.domains_out),
        answer.era,
    )


@kernel_module.service(
    "exchange",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "view_reader", "peer_port", "metrics"),
)
class ViewExchange(kernel_module.Service):
    """Serves this daemon's view and fetches newer ones from peers."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._reader = kernel.get("view_reader")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._control = kernel.environment.control
        self._random = kernel.environment.random
        self._outdated_since_s: float | None = None

    async def run(self) -> None:
        """Serve and fetch until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._control.serve,
                self.kernel.settings.peers,
                self._answer_request,
            )
            await guard.keep_running(self._metrics, self._fetch_periodically)

    async def _fetch_periodically(self) -> None:
        while True:
            await anyio.sleep(POLL_INTERVAL_S * (0.5 + self._random.random()))
            host = self._choose_peer()
            if host:
                await self._fetch(host)

    async def _answer_request(self, link: environment.ControlLink) -> None:
        try:
            with anyio.move_on_after(SERVE_TIMEOUT_S):
                data = await link.receive()
                request = frames.decode_body(data, ViewRequest)
                view = self._view_manager.view
                body = NO_NEWER_VIEW
                if view.stamp > (request.era, request.revision):
                    lapsed_ids = self._view_manager.lapsed_ids()
                    now_s = anyio.current_time()
                    answer = build_answer(request, view, now_s, lapsed_ids)
                    body = cbor2.dumps(msgspec.to_builtins(answer))
                await link.send(body)
        except (errors.LinkClosed, errors.InvalidFrame) as error:
            _log.warn_throttled(
                "answer", "view request failed", error=str(error)[:200]
            )
        finally:
            await link.aclose()

    def _choose_peer(self) -> str:
        """Return a daemon that may have a newer view; "" if none is needed.

        The store is authoritative, so peers are asked only when it has not
        delivered a newer revision, or any answer, within the grace time.
        """
        now_s = anyio.current_time()
        is_behind = self._peers.newest > self._view_manager.view.stamp
        if not is_behind and not self._reader.store_failing:
            self._outdated_since_s = None
            return ""
        if self._outdated_since_s is None:
            self._outdated_since_s = now_s
        if now_s - self._outdated_since_s < STORE_GRACE_S:
            return ""
        if is_behind:
            return self._peers.newest_host
        hosts = set(self._peers.recent_peer_hosts())
        hosts |= {seed.host for seed in self.kernel.settings.seeds}
        return self._random.choice(sorted(hosts)) if hosts else ""

    async def _fetch(self, host: str) -> None:
        own_view = self._view_manager.view
        request = ViewRequest(
            own_view.revision, own_view.configuration.version, own_view.era
        )
        peer_address = address.Address(host, self.kernel.settings.peers.port)
        try:
            with anyio.fail_after(FETCH_TIMEOUT_S):
                link = await self._control.connect(peer_address)
                try:
                    await link.send(cbor2.dumps(msgspec.to_builtins(request)))
                    data = await link.receive()
                finally:
                    with anyio.CancelScope(shield=True):
                        await link.aclose()
            if data == NO_NEWER_VIEW:
                # A revision that it announced before a restart is outdated.
                self._peers.forget(host)
                self._metrics.count(VIEWS_NOT_NEWER)
                return
            answer = frames.decode_body(data, ViewAnswer)
            view = view_from_answer(
                answer,
                self._view_manager.view.configuration,
                anyio.current_time(),
            )
        except (
            TimeoutError,
            errors.PeerUnreachable,
            errors.LinkClosed,
            errors.InvalidFrame,
        ) as error:
            self._peers.forget(host)
            _log.warn_throttled(
                "fetch",
                "fetching the view from a daemon failed",
                host=host,
                error=str(error),
            )
            return
        if self._view_manager.install_if_newer(view, answer.lapsed_ids):
            self._metrics.count(VIEWS_FETCHED)
