"""Daemon processes of the soak test, each on its own loopback address."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import anyio

from bramleypin.platform import boot
from tests.soak import store as store_module

INGRESS_PORT = 7_601
READY_PORT = 7_602
CONTROL_PORT = 7_603
PEER_PORT = 7_604
OUTBOUND_PORT = 7_605
APP_PORT = 7_606
STORE_PORT = 7_607
# The platform's time bounds, smaller than in a deployment to keep runs short.
GRACE_S = 3.0
DRAIN_S = 3.0
CONFIGURATION_APPLY_S = 3.0
EVACUATION_S = 5.0
# Checks that a fault may affect apply only when no fault was active for this
# time.
RECOVERY_TIME_S = 4.0
# The fabric probes readiness every half second and removes a daemon from
# rotation after two failed probes.
PROBE_INTERVAL_S = 0.5
MAX_MISSED_PROBES = 2


class Machine:
    """A daemon process with its settings file, store proxy and log."""

    def __init__(self, folder: pathlib.Path, net: str, number: int, **fields):
        self.host = f"{net}.{number}"
        self.name = f"m{number}"
        self.domain = fields["zone"]
        self.proxy = store_module.Proxy(fields.pop("store"))
        self.process: subprocess.Popen | None = None
        self.missed_probes = MAX_MISSED_PROBES
        self._log = folder / f"{self.name}.log"
        self._settings_file = folder / f"{self.name}.json"
        self._store_host = f"{net}.{number + 100}"
        settings = {
            "node": self.name,
            "ip": self.host,
            "listen": {
                "datagram_addr": f"{self.host}:{INGRESS_PORT}",
                "ready_addr": f"{self.host}:{READY_PORT}",
                "control": f"{self.host}:{CONTROL_PORT}",
                "outbound": f"{self.host}:{OUTBOUND_PORT}",
            },
            "app": f"{self.host}:{APP_PORT}" if "service" in fields else "",
            "internal_ports": [PEER_PORT, PEER_PORT + 8],
            "seeds": [f"{net}.1:{CONTROL_PORT}", f"{net}.2:{CONTROL_PORT}"],
            "platform": {"address": f"{self._store_host}:{STORE_PORT}"},
            "bounds": {
                "grace_s": GRACE_S,
                "flow_max_s": 60,
                "drain_ms": DRAIN_S * 1000,
                "config_apply_ms": CONFIGURATION_APPLY_S * 1000,
                "evacuate_ms": EVACUATION_S * 1000,
            },
            **fields,
        }
        self._settings_file.write_text(json.dumps(settings))

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the daemon process and append its output to the log."""
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bramleypin.platform"],
                env={
                    "PATH": os.environ["PATH"],
                    boot.BOOT_VARIABLE: str(self._settings_file),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self.process.send_signal(number)

    async def serve_store(self) -> None:
        """Proxy the daemon's connections to the store until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._store_host, local_port=STORE_PORT
        )
        async with listener:
            await listener.serve(self.proxy.serve)

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after ``GRACE_S`` seconds.

        SIGCONT comes first, so that a paused process handles SIGTERM.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while self.running:
                await anyio.sleep(0.02)
        if self.running:
            self.process.kill()
        await anyio.to_thread.run_sync(self.process.wait)

    async def probe_readiness(self) -> None:
        """Probe the daemon's readiness until cancelled, as the fabric does."""
        while True:
            ready = False
            with anyio.move_on_after(PROBE_INTERVAL_S):
                ready = await self._is_ready()
            self.missed_probes = 0 if ready else self.missed_probes + 1
            await anyio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self) -> bool:
        try:
            stream = await anyio.connect_tcp(self.host, READY_PORT)
            async with stream:
                request = (
                    f"GET {boot.READINESS_PATH} HTTP/1.1\r\nHost: h\r\n\r\n"
                )
                await stream.send(request.encode())
                return b" 200 " in await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False
