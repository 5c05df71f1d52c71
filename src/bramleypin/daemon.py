"""The daemon ``bramleypind``: one process of the fleet."""

import pathlib
import random
import signal
import sys
import typing

import anyio
import typer

import bramleypin
from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import control
from bramleypin.internal.net import datagram
from bramleypin.internal.net import environment
from bramleypin.internal.net import platform
from bramleypin.internal.observe import logs
from bramleypin.internal import services
from bramleypin import settings as settings_module

_log = logs.get("kernel")

application = typer.Typer(add_completion=True, pretty_exceptions_enable=False)


def real_environment(
    settings: settings_module.Settings,
) -> environment.Environment:
    """Return the environment over sockets, websockets and HTTP."""
    return environment.Environment(
        open_datagram_port=datagram.open_port,
        open_endpoint_port=datagram.open_endpoint_port,
        control=control.WebsocketNetwork(),
        platform=platform.connect(settings.platform),
        random=random.SystemRandom(),
    )


async def serve(settings: settings_module.Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    A second signal ends it at once. SIGHUP is ignored, so that a closed
    terminal does not end a daemon.

    :raises errors.ServiceFailed: when one of its services fails.
    """
    services.load(settings.role)
    kernel = kernel_module.Kernel(settings, real_environment(settings))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, kernel, tasks.cancel_scope)
        _log.info("starting", role=settings.role, id=settings.id)
        tasks.start_soon(_announce, kernel)
        await kernel.run()
        _log.info("stopped")
        tasks.cancel_scope.cancel()


async def _announce(kernel: kernel_module.Kernel) -> None:
    await kernel.started.wait()
    _log.info("started all services", count=len(kernel.service_by_name))


async def _handle_signals(
    kernel: kernel_module.Kernel, scope: anyio.CancelScope
) -> None:
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    asked = False
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _log.info("ignored SIGHUP; restart to change settings")
            elif asked:
                _log.warning("stopping at once after a second signal")
                scope.cancel()
            else:
                _log.info("draining", signal=signal.Signals(number).name)
                asked = True
                kernel.shutdown()


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"bramleypind {bramleypin.__version__}")
        raise typer.Exit()


@application.command()
def run(
    settings: typing.Annotated[
        pathlib.Path,
        typer.Option(help="TOML file with role, addresses and keys."),
    ],
    check: typing.Annotated[
        bool, typer.Option(help="Only check the settings, then exit.")
    ] = False,
    version: typing.Annotated[
        bool,
        typer.Option(
            "--version", callback=_print_version, is_eager=True, help="Show."
        ),
    ] = False,
) -> None:
    """Run one balancer (on an entry VM) or agent (beside an endpoint).

    Example: bramleypind --settings examples/lone-star/entry-1.toml
    """
    loaded = settings_module.load(settings)
    if check:
        typer.echo(f"{settings}: settings are valid")
        return
    logs.configure(loaded.logs)
    anyio.run(serve, loaded)


def main() -> None:
    """Run the daemon; errors give one line and an exit code."""
    try:
        application()
    except errors.BramleypinError as error:
        typer.echo(f"bramleypind: {error}", err=True)
        sys.exit(error.exit_code)
    except BaseExceptionGroup as group:
        known = group.subgroup(errors.BramleypinError)
        if known is None:
            raise
        error = _first(known)
        typer.echo(f"bramleypind: {error}", err=True)
        sys.exit(error.exit_code)


def _first(group: BaseExceptionGroup) -> errors.BramleypinError:
    error: typing.Any = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
