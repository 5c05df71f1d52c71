"""Reads the data port of a balancer and dispatches the frames."""

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.wire import frames

# Datagrams handled before other tasks get their turn.
BATCH = 64

_log = logs.get("balancer")


@kernel_module.service(
    "frames",
    roles=("balancer",),
    needs=("port", "view", "sync", "forwarder", "openings"),
)
class Receiver(kernel_module.Service):
    """Takes ANSWER, PROBE_ANSWER and NOTICE."""

    async def start(self) -> None:
        """Look up the other services."""
        self._keys = self.kernel.settings.key_bytes
        self._port = self.kernel.get("port")
        self._store = self.kernel.get("view")
        self._sync = self.kernel.get("sync")
        self._forwarder = self.kernel.get("forwarder")
        self._openings = self.kernel.get("openings")

    async def run(self) -> None:
        """Handle frames until the port is closed."""
        await self.kernel.started.wait()
        while True:
            try:
                item = await self._port.receive()
                for _ in range(BATCH):
                    self.handle(*item)
                    item = self._port.receive_nowait()
                    if item is None:
                        break
                else:
                    self.handle(*item)
            except errors.PortClosed:
                return

    def handle(self, data: bytes, sender: address.Address) -> None:
        """Handle one frame; a bad one is counted and does no harm."""
        try:
            frame, _, payload = frames.decode(data, self._keys)
            self._dispatch(frame, payload, sender)
        except errors.InvalidFrame as error:
            self._forwarder.drop(error.reason)
        except (OSError, ValueError, TypeError, AttributeError) as error:
            # A signed frame with fields of a wrong type, from a peer of
            # another version, must not end the task.
            _log.warn_throttled(
                "frame", "a frame caused an error", error=error
            )
            self._forwarder.drop("unexpected")

    def _dispatch(
        self, frame: frames.Frame, payload: bytes, sender: address.Address
    ) -> None:
        if isinstance(frame, frames.Answer):
            self._forwarder.answers.relay(frame, payload)
            self._compare(frame.revision, frame.owner, frame.service)
        elif isinstance(frame, frames.ProbeAnswer):
            self._forwarder.routes.heard(sender, frame.incarnation)
            self._openings.probe_answered(frame)
            self._compare(frame.revision, sender, None)
        elif isinstance(frame, frames.Notice):
            self._noticed(frame, sender)
        else:
            self._forwarder.drop("frame_kind")

    def _compare(
        self, revision: int, agent: address.Address, service: str | None
    ) -> None:
        """Fetch a newer revision from an agent that has it.

        Without a service the agent's NOTICE will name where to fetch it.
        """
        view = self._store.view
        if revision <= view.revision or service is None:
            return
        found = view.service(service)
        for endpoint in () if found is None else found.endpoints:
            if endpoint.data == agent:
                self._sync.report_newer(revision, endpoint.control)
                return

    def _noticed(self, notice: frames.Notice, sender: address.Address) -> None:
        self._forwarder.routes.heard(sender, notice.incarnation)
        if notice.revision > self._store.view.revision:
            self._sync.report_newer(notice.revision, notice.control)
        if notice.reason is frames.Reason.STALE_INCARNATION:
            self._forwarder.routes.doubt(sender)
        elif notice.reason is not frames.Reason.NEWER_REVISION:
            self._forwarder.agents.refused(sender)
