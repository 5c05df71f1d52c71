"""Accepts control links of other processes and of the tool."""

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import handlers
from bramleypin.internal.membership import metric_names
from bramleypin.internal.membership import secure_link
from bramleypin.internal.net import environment
from bramleypin.internal.observe import logs

# Two orders with 16 children each, the ring of readers, links from other
# failure domains and helpers fit several times over.
MAX_LINKS = 256
# All children of both orders may reconnect at once after a pause.
MAX_HANDSHAKES = 48

HANDLERS = handlers.HANDLERS

_log = logs.get("control")


@kernel_module.service(
    "control", roles=("balancer", "agent"), needs=("sync", "metrics")
)
class ControlServer(kernel_module.Service):
    """Serves at the control address, with one task for each link."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._handshakes = 0

    async def start(self) -> None:
        """Look up the services that use the links."""
        self._sync = self.kernel.get("sync")
        self._metrics = self.kernel.get("metrics")

    async def run(self) -> None:
        """Accept links until cancelled."""
        at = self.kernel.settings.addresses.control_address
        await self.kernel.environment.control.serve(at, self._accept)

    async def _accept(self, link: environment.ControlLink) -> None:
        open_links = len(self._sync.links)
        if open_links >= MAX_LINKS or self._handshakes >= MAX_HANDSHAKES:
            self._metrics.count(metric_names.LINKS_REFUSED)
            _log.warn_throttled(
                "full", "refused a control link; too many are open"
            )
            await link.aclose()
            return
        secure = await self._shake_hands(link)
        if secure is not None:
            await self._sync.serve_link(secure, outgoing=False)

    async def _shake_hands(
        self, link: environment.ControlLink
    ) -> secure_link.SecureLink | None:
        self._handshakes += 1
        try:
            return await secure_link.handshake(
                link,
                self._sync.hello(),
                self.kernel.settings.key_bytes,
                is_initiator=False,
            )
        except errors.AuthenticationFailed as error:
            self._sync.reject("authentication", str(error))
        except errors.InvalidFrame as error:
            self._sync.reject(error.reason, "unknown")
        except errors.LinkClosed:
            pass
        finally:
            self._handshakes -= 1
        return None
