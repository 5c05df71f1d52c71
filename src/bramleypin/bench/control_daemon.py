"""The daemon that the bench ``control`` measures, run as its own process.

It imports only the modules that the control path of a daemon needs, so that
its memory is that of the control path. Imports that are not used by name
register the services and handlers of that path.
"""

import random
import resource
import sys
import time

import anyio
import loguru

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import control_server
from bramleypin.internal.membership import lease  # noqa: F401
from bramleypin.internal.membership import members  # noqa: F401
from bramleypin.internal.membership import metric_names
from bramleypin.internal.membership import platform_reader
from bramleypin.internal.membership import sync  # noqa: F401
from bramleypin.internal.membership import view_store  # noqa: F401
from bramleypin.internal.net import control as network
from bramleypin.internal.net import environment
from bramleypin.internal.net import platform
from bramleypin.internal.observe import metrics  # noqa: F401
from bramleypin.internal.observe import status as _status  # noqa: F401
from bramleypin.internal.wire import control
from bramleypin import settings as settings_module

STARTED_SERVICES = ("control", "sync", "lease", "members", "view")


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


async def _answer_usage(
    kernel: kernel_module.Kernel, _: control.StatusRequest
) -> control.StatusAnswer:
    count_by_name = kernel.get("metrics").count_by_name
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    usage = {
        "rss": resident_bytes(),
        "peak_rss": peak_bytes,
        "cpu_s": time.process_time(),
        "sent": count_by_name.get(metric_names.SENT_BYTES, 0),
        "received": count_by_name.get(metric_names.RECEIVED_BYTES, 0),
        "reads": count_by_name.get(metric_names.PLATFORM_READS, 0),
        "revision": kernel.get("view").view.revision,
        "members": kernel.get("members").version,
        "member_count": len(kernel.get("members").vm_by_id),
        "reader": kernel.get("members").position.is_reader,
    }
    return control.StatusAnswer({"usage": usage})


async def main(settings_text: str) -> None:
    """Run the control path with settings given as TOML text."""
    settings = settings_module.parse(settings_text)
    control_server.HANDLERS[control.StatusRequest] = _answer_usage
    # The bench publishes the changes of a day within seconds. The daemon
    # limits its platform calls per second, so it would skip most of these
    # changes. The limits of reads and of watches of the VM list are therefore
    # lifted.
    platform_reader.READS_PER_S = 1e6
    platform_reader.MEMBERS_INTERVAL_S = 0.0
    env = environment.Environment(
        open_datagram_port=None,
        open_endpoint_port=None,
        control=network.WebsocketNetwork(),
        platform=platform.connect(settings.platform),
        random=random.SystemRandom(),
    )
    await kernel_module.Kernel(settings, env, STARTED_SERVICES).run()


if __name__ == "__main__":
    loguru.logger.remove()
    anyio.run(main, sys.argv[1])
