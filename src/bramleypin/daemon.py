"""The daemon ``bramleypind``, which runs as a balancer or an agent."""

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
    """Return an environment that uses sockets, websockets and HTTP."""
    return environment.Environment(
        open_datagram_port=datagram.open_port,
        open_endpoint_port=datagram.open_endpoint_port,
        control=control.WebsocketNetwork(),
        platform=platform.connect(settings.platform),
        random=random.SystemRandom(),
    )


async def serve(settings: settings_module.Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut down gracefully.

    A second signal stops the daemon immediately. SIGHUP is ignored, so that
    closing the terminal does not stop the daemon.

    :raises errors.ServiceFailed: if one of its services fails.
    """
    services.load(settings.role)
    kernel = kernel_module.Kernel(settings, real_environment(settings))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, kernel, tasks.cancel_scope)
        _log.info("starting", role=settings.role, id=settings.id)
        tasks.start_soon(_log_when_started, kernel)
        await kernel.run()
        _log.info("stopped")
        tasks.cancel_scope.cancel()


async def _log_when_started(kernel: kernel_module.Kernel) -> None:
    await kernel.started.wait()
    _log.info("started all services", count=len(kernel.service_by_name))


async def _handle_signals(
    kernel: kernel_module.Kernel, scope: anyio.CancelScope
) -> None:
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    shutdown_requested = False
    with anyio.open_signal_receiver(*handled_signals) as signals:
        async for signal_number in signals:
            if signal_number == signal.SIGHUP:
                _log.info(
                    "SIGHUP ignored; restart the daemon to change its settings"
                )
            elif shutdown_requested:
                _log.warning(
                    "second signal received; stopping without draining"
                )
                scope.cancel()
            else:
                _log.info(
                    "draining", signal=signal.Signals(signal_number).name
                )
                shutdown_requested = True
                kernel.shutdown()


def _print_version(version_requested: bool) -> None:
    if version_requested:
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
    """Run a balancer (on an entry VM) or an agent (beside an endpoint).

    Example: bramleypind --settings examples/lone-star/entry-1.toml
    """
    daemon_settings = settings_module.load(settings)
    if check:
        typer.echo(f"{settings}: settings are valid")
        return
    logs.configure(daemon_settings.logs)
    anyio.run(serve, daemon_settings)


def main() -> None:
    """Run the daemon; print an error as one line and exit with its code."""
    try:
        application()
    except errors.BramleypinError as error:
        typer.echo(f"bramleypind: {error}", err=True)
        sys.exit(error.exit_code)
    except BaseExceptionGroup as group:
        bramleypin_errors = group.subgroup(errors.BramleypinError)
        if bramleypin_errors is None:
            raise
        error = _first_error(bramleypin_errors)
        typer.echo(f"bramleypind: {error}", err=True)
        sys.exit(error.exit_code)


def _first_error(group: BaseExceptionGroup) -> errors.BramleypinError:
    error: typing.Any = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
