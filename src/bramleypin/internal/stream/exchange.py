"""Fetches the view from other daemons when the store cannot be read."""

import anyio
import cbor2
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import environment
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import view as view_module

# Importing the library of the links takes a tenth of a second of processor
# time, which a restarted daemon needs for its callers first.
START_DELAY_S = 2.0
POLL_S = 0.25
# The store is given this long before other daemons are asked.
PATIENCE_S = 0.4
FETCH_TIMEOUT_S = 1.0
SERVE_TIMEOUT_S = 2.0

FETCHED = metrics.declare(
    "stream.views_fetched", "counter", "views", "Views of other daemons."
)

_log = logs.get("exchange")


class Request(msgspec.Struct, array_like=True):
    """What the asking daemon has already."""

    revision: int
    version: int


class Answer(msgspec.Struct, array_like=True):
    """A view; without routes and services when the version is the same.

    Endpoints carry the seconds for which they stay cold from now on.
    """

    revision: int
    version: int
    idle_s: float
    routes: list[view_module.Route] | None
    services: list[view_module.Service] | None
    endpoints: list[view_module.Endpoint]
    domains_out: list[str]


def answer_to(
    request: Request, view: view_module.View, now_s: float
) -> Answer:
    """Return what a daemon with an older view needs."""
    configuration = view.configuration
    same = request.version == configuration.version
    routes = list(configuration.route_by_address.values())
    endpoints = [
        view_module.with_cold(endpoint, endpoint.cold_left_s(now_s), 0.0)
        for endpoint in view.endpoint_by_id.values()
    ]
    return Answer(
        view.revision,
        configuration.version,
        configuration.idle_s,
        None if same else routes,
        None if same else list(configuration.service_by_name.values()),
        endpoints,
        sorted(view.domains_out),
    )


def view_from(
    answer: Answer, known: view_module.Configuration, now_s: float
) -> view_module.View:
    """Return the view that an answer describes.

    :raises errors.InvalidFrame: when it leaves out a configuration that this
        daemon does not have.
    """
    configuration = known
    if answer.routes is not None and answer.services is not None:
        configuration = view_module.Configuration(
            answer.version,
            {(route.host, route.port): route for route in answer.routes},
            {service.name: service for service in answer.services},
            answer.idle_s,
        )
    elif answer.version != known.version:
        raise errors.InvalidFrame("no_configuration", str(answer.version))
    return view_module.View(
        answer.revision,
        configuration,
        {
            endpoint.id: view_module.with_cold(
                endpoint, endpoint.cold_s, now_s
            )
            for endpoint in answer.endpoints
        },
        frozenset(answer.domains_out),
    )


@kernel_module.service(
    "exchange",
    roles=("stream_balancer", "stream_agent"),
    needs=("view", "view_reader", "peer_port", "metrics"),
)
class Exchange(kernel_module.Service):
    """Serves this daemon's view, and fetches newer ones when it has to."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._keeper = kernel.get("view")
        self._reader = kernel.get("view_reader")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._random = kernel.environment.random
        self._behind_since_s: float | None = None

    async def run(self) -> None:
        """Serve and fetch until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve)
            while True:
                await anyio.sleep(POLL_S * (0.5 + self._random.random()))
                host = self._host_to_ask()
                if host:
                    await self._fetch(host)

    async def _serve(self) -> None:
        await anyio.sleep(START_DELAY_S)
        network = self.kernel.environment.open_control()
        await network.serve(self.kernel.settings.peers, self._answer)

    async def _answer(self, link: environment.ControlLink) -> None:
        try:
            with anyio.move_on_after(SERVE_TIMEOUT_S):
                data = cbor2.loads(await link.receive())
                request = msgspec.convert(data, Request)
                view = self._keeper.view
                if view.revision > request.revision:
                    answer = answer_to(request, view, anyio.current_time())
                    body = cbor2.dumps(msgspec.to_builtins(answer))
                    await link.send(body)
        except (
            errors.LinkClosed,
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
        ) as error:
            _log.warn_throttled(
                "answer", "request failed", error=str(error)[:200]
            )
        finally:
            await link.aclose()

    def _host_to_ask(self) -> str:
        """Return a daemon that may know more, or "" when none is needed.

        The store comes first: it is asked for what others have only seen.
        """
        now_s = anyio.current_time()
        newest = self._peers.newest_revision
        behind = newest > self._keeper.view.revision
        if not behind and not self._reader.failing:
            self._behind_since_s = None
            return ""
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if now_s - self._behind_since_s < PATIENCE_S:
            return ""
        if behind:
            return self._peers.newest_host
        hosts = set(self._peers.heard_hosts())
        hosts |= {seed.host for seed in self.kernel.settings.seeds}
        return self._random.choice(sorted(hosts)) if hosts else ""

    async def _fetch(self, host: str) -> None:
        known = self._keeper.view
        request = Request(known.revision, known.configuration.version)
        to = address.Address(host, self.kernel.settings.peers.port)
        try:
            with anyio.fail_after(FETCH_TIMEOUT_S):
                network = self.kernel.environment.open_control()
                link = await network.connect(to)
                try:
                    await link.send(cbor2.dumps(msgspec.to_builtins(request)))
                    data = cbor2.loads(await link.receive())
                finally:
                    with anyio.CancelScope(shield=True):
                        await link.aclose()
            answer = msgspec.convert(data, Answer)
            view = view_from(
                answer, self._keeper.view.configuration, anyio.current_time()
            )
        except (
            TimeoutError,
            errors.PeerUnreachable,
            errors.LinkClosed,
            errors.InvalidFrame,
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
        ) as error:
            self._peers.forget(host)
            _log.warn_throttled(
                "fetch", "no view from a daemon", host=host, error=str(error)
            )
            return
        if self._keeper.adopt(view):
            self._metrics.count(FETCHED)
