"""The command-line tool ``bramleypin``."""

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
from bramleypin.internal.tool import questionnaire_commands
from bramleypin.internal.tool import report_commands
from bramleypin.internal.tool import settings_commands


class _Group(typer.core.TyperGroup):
    """Turns the errors of bramleypin into lines and an exit code."""

    def invoke(self, ctx: typer.Context) -> typing.Any:
        try:
            return super().invoke(ctx)
        except errors.BramleypinError as failure:
            output.error(str(failure))
            raise typer.Exit(failure.exit_code) from failure


application = typer.Typer(
    cls=_Group,
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    help="Create services, change them, and see how they do.",
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


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"bramleypin {bramleypin.__version__}")
        raise typer.Exit()


@application.callback()
def _common(
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
    """Options that stand before every command."""


def main() -> None:
    """Run the tool and exit with its code."""
    application()
