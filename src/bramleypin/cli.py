"""Entry point of the command-line tool ``bramleypin``."""

import typing

import typer
import typer.core

import bramleypin
from bramleypin import errors
from bramleypin.internal.tool import configuration_commands
from bramleypin.internal.tool import domain_commands
from bramleypin.internal.tool import fleet_commands
from bramleypin.internal.tool import log_commands
from bramleypin.internal.tool import output
from bramleypin.internal.tool import placement_commands
from bramleypin.internal.tool import questionnaire_commands
from bramleypin.internal.tool import report_commands
from bramleypin.internal.tool import settings_commands


class _ErrorReportingGroup(typer.core.TyperGroup):
    """A command group that reports each ``BramleypinError`` of a command.

    It prints the message and exits with the ``exit_code`` of the error.
    """

    def invoke(self, ctx: typer.Context) -> typing.Any:
        try:
            return super().invoke(ctx)
        except errors.BramleypinError as error:
            output.error(str(error))
            raise typer.Exit(error.exit_code) from error


application = typer.Typer(
    cls=_ErrorReportingGroup,
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    help="Create and change services, and show their state.",
    epilog="Start with: bramleypin questionnaire new answers.toml",
)
application.add_typer(questionnaire_commands.application, name="questionnaire")
application.add_typer(configuration_commands.application, name="configuration")
application.add_typer(domain_commands.application, name="domain")
application.add_typer(report_commands.application, name="report")
application.add_typer(log_commands.application, name="logs")
application.add_typer(settings_commands.application, name="settings")
application.command()(fleet_commands.status)
application.command()(fleet_commands.trace)
application.command()(placement_commands.placement)


def _print_version(version_requested: bool) -> None:
    if version_requested:
        typer.echo(f"bramleypin {bramleypin.__version__}")
        raise typer.Exit()


@application.callback()
def _global_options(
    version: typing.Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Show the version and exit.",
        ),
    ] = False,
) -> None:
    """Define the global options, which act in their own callbacks."""


def main() -> None:
    """Run the command given on the command line, then exit."""
    application()
