"""Receives frames on a balancer's data port and dispatches them."""

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.wire import frames

# Maximum number of frames handled before other tasks run.
MAX_FRAMES_PER_TURN = 64

_log = logs.get("balancer")


@kernel_module.service(
    "frames",
    roles=("balancer",),
    needs=("port", "view", "sync", "forwarder", "openings"),
)
class Receiver(kernel_module.Service):
    """Handles ANSWER, PROBE_ANSWER and NOTICE frames."""

    async def start(self) -> None:
        """Look up the kernel services that frames are passed to."""
        self._keys = self.kernel.settings.key_bytes
        self._port = self.kernel.get("port")
        self._view_store = self.kernel.get("view")
        self._sync = self.kernel.get("sync")
        self._forwarder = self.kernel.get("forwarder")
        self._openings = self.kernel.get("openings")

    async def run(self) -> None:
        """Handle frames until the port is closed."""
        await self.kernel.started.wait()
        while True:
            try:
                item = await self._port.receive()
                for _ in range(MAX_FRAMES_PER_TURN):
                    self.handle(*item)
                    item = self._port.receive_nowait()
                    if item is None:
                        break
                else:
                    # One more frame was received after the limit was reached.
                    self.handle(*item)
            except errors.PortClosed:
                return

    def handle(self, data: bytes, sender: address.Address) -> None:
        """Handle one frame; invalid frames are counted and dropped."""
        try:
            frame, _, payload = frames.decode(data, self._keys)
            self._dispatch(frame, payload, sender)
        except errors.InvalidFrame as error:
            self._forwarder.drop(error.reason)
        except (OSError, ValueError, TypeError, AttributeError) as error:
            # A signed frame from a peer of another version may have fields of
            # a wrong type, which must not end the task.
            _log.warn_throttled(
                "frame", "could not handle a frame", error=error
            )
            self._forwarder.drop("unexpected")

    def _dispatch(
        self, frame: frames.Frame, payload: bytes, sender: address.Address
    ) -> None:
        if isinstance(frame, frames.Answer):
            self._forwarder.answers.relay(frame, payload)
            self._check_revision(frame.revision, frame.owner, frame.service)
        elif isinstance(frame, frames.ProbeAnswer):
            self._forwarder.routes.record_incarnation(
                sender, frame.incarnation
            )
            self._openings.handle_probe_answer(frame)
            self._check_revision(frame.revision, sender, None)
        elif isinstance(frame, frames.Notice):
            self._handle_notice(frame, sender)
        else:
            self._forwarder.drop("frame_kind")

    def _check_revision(
        self, revision: int, agent: address.Address, service: str | None
    ) -> None:
        """Schedule the fetch of a newer revision from the reporting agent.

        Without ``service`` the agent's control address is unknown. The agent
        then sends the address in a NOTICE.
        """
        view = self._view_store.view
        if revision <= view.revision or service is None:
            return
        configured_service = view.service(service)
        for endpoint in (
            () if configured_service is None else configured_service.endpoints
        ):
            if endpoint.data == agent:
                self._sync.report_newer(revision, endpoint.control)
                return

    def _handle_notice(
        self, notice: frames.Notice, sender: address.Address
    ) -> None:
        self._forwarder.routes.record_incarnation(sender, notice.incarnation)
        if notice.revision > self._view_store.view.revision:
            self._sync.report_newer(notice.revision, notice.control)
        if notice.reason is frames.NoticeReason.STALE_INCARNATION:
            self._forwarder.routes.invalidate_routes(sender)
        elif notice.reason is not frames.NoticeReason.NEWER_REVISION:
            self._forwarder.agents.mark_refusing(sender)
