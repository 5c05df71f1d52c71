"""Commands of ``bramleypin settings``."""

import pathlib
import typing

import typer

from bramleypin.internal.tool import fleet_options
from bramleypin.internal.tool import output
from bramleypin import settings as settings_module

application = typer.Typer(
    no_args_is_help=True, help="Check the settings of a daemon."
)


# Without a callback, typer omits the name of a group's only command.
@application.callback()
def _group() -> None:
    """Check the settings of a daemon."""


@application.command()
def check(
    file: typing.Annotated[
        pathlib.Path, typer.Argument(help="Settings file of a daemon (TOML).")
    ],
    json: fleet_options.Json = False,
) -> None:
    """Check a settings file as the daemon does when it starts.

    Example: bramleypin settings check /etc/bramleypin/entry-1.toml
    """
    settings = settings_module.load(file)
    values = {
        "role": settings.role,
        "data": settings.addresses.data,
        "control": settings.addresses.control,
    }
    if json:
        output.as_json({"file": str(file), "valid": True, **values})
        return
    output.table(("setting", "value"), [list(item) for item in values.items()])
    output.line(f"{file}: valid")
