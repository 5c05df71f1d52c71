"""Accepts control links from other processes and the command-line tool."""

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import handlers
from bramleypin.internal.membership import metric_names
from bramleypin.internal.membership import secure_link
from bramleypin.internal.net import environment
from bramleypin.internal.observe import logs

# Several times the links of one process: 16 children in each of two trees, the
# ring of readers, links from other failure domains and fallback links.
MAX_LINKS = 256
# All 32 children in both trees may reconnect at once after an interruption.
MAX_PENDING_HANDSHAKES = 48

HANDLERS = handlers.HANDLERS

_log = logs.get("control")


@kernel_module.service(
    "control", roles=("balancer", "agent"), needs=("sync", "metrics")
)
class ControlServer(kernel_module.Service):
    """Listens on the control address; runs one task per link."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._pending_handshakes = 0

    async def start(self) -> None:
        """Resolve the services that this one depends on."""
        self._sync = self.kernel.get("sync")
        self._metrics = self.kernel.get("metrics")

    async def run(self) -> None:
        """Accept links until cancelled."""
        address = self.kernel.settings.addresses.control_address
        await self.kernel.environment.control.serve(address, self._accept)

    async def _accept(self, link: environment.ControlLink) -> None:
        open_links = len(self._sync.links)
        if (
            open_links >= MAX_LINKS
            or self._pending_handshakes >= MAX_PENDING_HANDSHAKES
        ):
            self._metrics.count(metric_names.LINKS_REFUSED)
            _log.warn_throttled(
                "full",
                "refused a control link: link or handshake limit reached",
            )
            await link.aclose()
            return
        auth_link = await self._authenticate(link)
        if auth_link is not None:
            await self._sync.serve_link(auth_link, outgoing=False)

    async def _authenticate(
        self, link: environment.ControlLink
    ) -> secure_link.AuthenticatedLink | None:
        self._pending_handshakes += 1
        try:
            return await secure_link.handshake(
                link,
                self._sync.hello(),
                self.kernel.settings.key_bytes,
                is_initiator=False,
            )
        except errors.AuthenticationFailed as error:
            self._sync.record_rejection("authentication", str(error))
        except errors.InvalidFrame as error:
            self._sync.record_rejection(error.reason, "unknown")
        except errors.LinkClosed:
            pass
        finally:
            self._pending_handshakes -= 1
        return None
