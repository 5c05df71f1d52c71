"""Simulates the platform and the endpoints for daemons on loopback.

``python -m bramleypin.standins.try_out FOLDER SETTINGS...`` publishes a
folder of generated configuration files at the URL in the first settings file,
and again whenever the folder's manifest changes. It also runs a simulated
endpoint for each agent.
"""

import pathlib
import random
import typing
import urllib.parse

import anyio
import typer

from bramleypin import errors
from bramleypin.internal.model import vms
from bramleypin.internal.net import control
from bramleypin.internal.net import datagram
from bramleypin.internal.net import environment
from bramleypin import settings as settings_module
from bramleypin.standins import endpoint
from bramleypin.standins import platform

POLL_INTERVAL_S = 0.5

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def publish(source: platform.MemoryPlatform, folder: pathlib.Path) -> None:
    """Publish the configuration files of a folder.

    The shards come first and the manifest last, as the operations page
    prescribes.
    """
    for path in sorted(folder.glob("shard-*.cbor")):
        number = path.stem.removeprefix("shard-")
        source.put(f"shard/{number}", path.read_bytes())
    source.put("manifest", (folder / "manifest.cbor").read_bytes())


def publish_vms(
    source: platform.MemoryPlatform,
    all_settings: list[settings_module.Settings],
) -> None:
    """Publish a VM list with one entry for each daemon."""
    vm_entries = tuple(vms.of_daemon(item) for item in all_settings)
    source.put("vms", vms.encode(vms.VmList(vms.FORMAT, 1, vm_entries)))


async def serve(
    folder: pathlib.Path, all_settings: list[settings_module.Settings]
) -> None:
    """Serve the platform and the endpoints until cancelled."""
    platform_settings = all_settings[0].platform
    url = urllib.parse.urlsplit(platform_settings.url)
    source = platform.MemoryPlatform(platform_settings.prefix)
    publish_vms(source, all_settings)
    server = platform.HttpServer(source)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, url.hostname, url.port)
        for item in all_settings:
            if item.endpoint is not None:
                standin = endpoint.EndpointStandin(
                    _environment(source), item.endpoint.endpoint_address
                )
                tasks.start_soon(standin.run)
        await _publish_changes(source, folder)


async def _publish_changes(
    source: platform.MemoryPlatform, folder: pathlib.Path
) -> typing.NoReturn:
    published = b""
    while True:
        try:
            manifest = (folder / "manifest.cbor").read_bytes()
            if manifest != published:
                publish(source, folder)
                published = manifest
                typer.echo(f"published {folder}")
        except FileNotFoundError:
            # The folder is being replaced; the next poll reads it again.
            pass
        await anyio.sleep(POLL_INTERVAL_S)


def _environment(
    source: platform.MemoryPlatform,
) -> environment.Environment:
    return environment.Environment(
        open_datagram_port=datagram.open_port,
        open_endpoint_port=datagram.open_endpoint_port,
        control=control.WebsocketNetwork(),
        platform=source,
        random=random.SystemRandom(),
    )


@application.command()
def run(folder: pathlib.Path, settings: list[pathlib.Path]) -> None:
    """Publish a folder to daemons with these settings until Ctrl-C."""
    try:
        loaded = [settings_module.load(path) for path in settings]
        anyio.run(serve, folder, loaded)
    except errors.BramleypinError as error:
        typer.echo(f"try_out: {error}", err=True)
        raise typer.Exit(error.exit_code) from error


if __name__ == "__main__":
    application()
