"""Daemons on loopback that the command-line tool can ask, for tests.

They run the control path and the observe services without a data path.
"""

import contextlib
import pathlib
import random
import socket
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import control_server  # noqa: F401
from bramleypin.internal.membership import lease  # noqa: F401
from bramleypin.internal.membership import members  # noqa: F401
from bramleypin.internal.membership import sync  # noqa: F401
from bramleypin.internal.membership import view_store  # noqa: F401
from bramleypin.internal.model import vms
from bramleypin.internal.net import control
from bramleypin.internal.net import datagram
from bramleypin.internal.net import environment
from bramleypin.internal.observe import metrics  # noqa: F401
from bramleypin.internal.observe import outcomes  # noqa: F401
from bramleypin.internal.observe import requests  # noqa: F401
from bramleypin.internal.observe import status  # noqa: F401
from bramleypin.internal.observe import trace  # noqa: F401
from bramleypin import settings as settings_module
from bramleypin.standins import platform

SERVICES = ("control", "outcomes", "trace", "status")
HOST = "127.0.0.1"
VIEW_TIMEOUT_S = 10.0


def free_port() -> int:
    """Return a TCP port of loopback that nothing uses at the moment."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


def settings_text(
    key: str, role: str, own_id: str, domain: str, service: str | None
) -> str:
    """Return a settings file with free ports of loopback."""
    lines = [
        f'role = "{role}"',
        f'id = "{own_id}"',
        f'failure_domain = "{domain}"',
        f'keys = ["{key}"]',
        "[addresses]",
        f'data = "{HOST}:{free_port()}"',
        f'control = "{HOST}:{free_port()}"',
    ]
    if service is not None:
        lines += ["[endpoint]", f'service = "{service}"', f'id = "{own_id}"']
        lines += [f'address = "{HOST}:{free_port()}"']
    return "\n".join(lines) + "\n"


def publish(source: platform.MemoryPlatform, folder: pathlib.Path) -> None:
    """Publish a generated folder as the operations page says."""
    for path in sorted(folder.glob("shard-*.cbor")):
        number = path.stem.removeprefix("shard-")
        source.put(f"shard/{number}", path.read_bytes())
    manifest = (folder / "manifest.cbor").read_bytes()
    source.put("manifest", manifest)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    all_settings: list[settings_module.Settings],
) -> typing.AsyncIterator[dict[str, kernel_module.Kernel]]:
    """Run daemons that have the configuration in a folder; yields by id."""
    source = platform.MemoryPlatform()
    publish(source, folder)
    listed = tuple(
        vms.Vm(
            item.id,
            item.role,
            item.failure_domain,
            item.addresses.data,
            item.addresses.control,
        )
        for item in all_settings
    )
    source.put("vms", vms.encode(vms.VmList(vms.FORMAT, 1, listed)))
    kernel_by_id: dict[str, kernel_module.Kernel] = {}
    async with anyio.create_task_group() as tasks:
        for item in all_settings:
            kernel = kernel_module.Kernel(item, _environment(source), SERVICES)
            kernel_by_id[item.id] = kernel
            tasks.start_soon(kernel.run)
        with anyio.fail_after(VIEW_TIMEOUT_S):
            for item, kernel in zip(
                all_settings, kernel_by_id.values(), strict=True
            ):
                await kernel.started.wait()
                await kernel.get("view").wait_for_change(0)
                await _listening(item.addresses.control_address)
        yield kernel_by_id
        tasks.cancel_scope.cancel()


async def _listening(at: address.Address) -> None:
    while True:
        try:
            stream = await anyio.connect_tcp(*at)
        except OSError:
            await anyio.sleep(0.01)
        else:
            await stream.aclose()
            return


def _environment(
    source: platform.MemoryPlatform,
) -> environment.Environment:
    return environment.Environment(
        open_datagram_port=datagram.open_port,
        open_endpoint_port=datagram.open_endpoint_port,
        control=control.WebsocketNetwork(),
        platform=source,
        random=random.Random(7),
    )
