"""Commands of ``bramleypin questionnaire``."""

import pathlib
import typing

import typer

from bramleypin import errors
from bramleypin.internal.tool import answers_file
from bramleypin.internal.tool import output
from bramleypin.internal.tool import questionnaire

application = typer.Typer(
    no_args_is_help=True,
    help="Ask a team about its services and write the answers to a TOML file.",
)

File = typing.Annotated[
    pathlib.Path, typer.Argument(help="The answers file (TOML).")
]
AnswersOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--answers",
        help="Read the answers from this TOML file instead of asking.",
    ),
]


@application.command()
def new(
    file: File,
    answers: AnswersOption = None,
    force: typing.Annotated[
        bool, typer.Option("--force", help="Overwrite an existing file.")
    ] = False,
) -> None:
    """Ask all questions and write a new answers file.

    Examples:

      bramleypin questionnaire new answers.toml

      bramleypin questionnaire new answers.toml --answers prepared.toml
    """
    if file.exists() and not force:
        raise errors.InvalidSettings(
            str(file),
            "(file)",
            "exists",
            "use `bramleypin questionnaire revise`, or pass --force to "
            "overwrite it",
        )
    if answers is None:
        text = questionnaire.render(questionnaire.ask_all({}))
    else:
        answers_file.load(answers)
        # The text is copied, because it may have comments on the answers.
        text = answers.read_text(encoding="utf-8")
    questionnaire.write(file, text)


@application.command()
def revise(file: File, answers: AnswersOption = None) -> None:
    """Ask again with the earlier answers as defaults; comments are kept.

    With --answers, the values of that file replace the earlier ones.

    Examples:

      bramleypin questionnaire revise answers.toml

      bramleypin questionnaire revise answers.toml --answers changed.toml
    """
    previous_table = answers_file.read_table(file)
    text = file.read_text(encoding="utf-8")
    if answers is None:
        table = questionnaire.ask_all(previous_table)
    else:
        answers_file.load(answers)
        table = answers_file.read_table(answers)
    if table == previous_table:
        output.line(f"{file}: no answer has changed")
        return
    questionnaire.write(file, questionnaire.revise(text, table))
