"""Loopback daemons for tests of the command-line tool.

They run the control path and the observability services, but no data path.
"""

import contextlib
import itertools
import os
import pathlib
import random
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import control_server  # noqa: F401
from bramleypin.internal.membership import lease  # noqa: F401
from bramleypin.internal.membership import members  # noqa: F401
from bramleypin.internal.membership import sync  # noqa: F401
from bramleypin.internal.membership import view_store  # noqa: F401
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
from bramleypin.standins import try_out

SERVICES = ("control", "outcomes", "trace", "status")
VIEW_TIMEOUT_S = 10.0

_HOST_NUMBERS = itertools.count()


def new_host() -> str:
    """Return a loopback address that no other test run uses.

    Fixed ports on unique addresses avoid a race that ports chosen by the
    operating system have: between the choice and the bind, another process
    may get the port for an outgoing connection.
    """
    number = next(_HOST_NUMBERS)
    pid = os.getpid()
    return f"127.{64 + pid % 64}.{pid // 64 % 256}.{number % 250 + 1}"


def settings_text(
    key: str, role: str, own_id: str, domain: str, service: str | None
) -> str:
    """Return the text of a settings file with a new loopback address."""
    host = new_host()
    lines = [
        f'role = "{role}"',
        f'id = "{own_id}"',
        f'failure_domain = "{domain}"',
        f'keys = ["{key}"]',
        "[addresses]",
        f'data = "{host}:7000"',
        f'control = "{host}:7001"',
    ]
    if service is not None:
        lines += ["[endpoint]", f'service = "{service}"', f'id = "{own_id}"']
        lines += [f'address = "{host}:5683"']
    return "\n".join(lines) + "\n"


@contextlib.asynccontextmanager
async def run_daemons(
    folder: pathlib.Path,
    all_settings: list[settings_module.Settings],
) -> typing.AsyncIterator[dict[str, kernel_module.Kernel]]:
    """Run daemons with the configuration in a folder.

    Yields their kernels by id once all listen and have a view.

    :raises TimeoutError: when that takes longer than ``VIEW_TIMEOUT_S``.
    """
    source = platform.MemoryPlatform()
    try_out.publish(source, folder)
    try_out.publish_vms(source, all_settings)
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
                await _wait_until_listening(item.addresses.control_address)
        yield kernel_by_id
        tasks.cancel_scope.cancel()


async def _wait_until_listening(listen_address: address.Address) -> None:
    while True:
        try:
            stream = await anyio.connect_tcp(*listen_address)
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
