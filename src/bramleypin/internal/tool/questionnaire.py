"""Asks the questions and writes the answers file with its comments."""

import collections.abc
import pathlib
import typing

import pydantic
import pydantic_core
import tomlkit
import tomlkit.items
import typer

from bramleypin import errors
from bramleypin.internal.tool import answers as answers_module
from bramleypin.internal.tool import answers_file
from bramleypin.internal.tool import output

Table = dict[str, typing.Any]

HEADER = """\
Answers to the questionnaire of bramleypin.
Revise them with `bramleypin questionnaire revise` or an editor; comments
are kept. Then run `bramleypin configuration generate`."""

_SECTIONS = {
    "failure_domains": ("failure domain", answers_module.FailureDomain),
    "services": ("service", answers_module.Service),
    "hosts": ("host", answers_module.Host),
}


class Prompter:
    """Asks questions in the terminal; repeats each until its answer is valid.

    ``known_domains`` are the failure domains that a host may be in.
    """

    def __init__(self) -> None:
        self.known_domains: list[str] = []

    def ask_table(
        self, model: type[pydantic.BaseModel], previous: Table
    ) -> Table:
        """Ask all questions of a table, with ``previous`` as the defaults."""
        result = dict(previous)
        for name, field in model.model_fields.items():
            if field.description is None:
                continue
            result[name] = self.ask(model, name, previous.get(name))
        return result

    def ask(
        self, model: type[pydantic.BaseModel], name: str, previous: typing.Any
    ) -> typing.Any:
        """Ask one question, with the earlier answer as the default."""
        field = model.model_fields[name]
        metadata = typing.cast(dict, field.json_schema_extra or {})
        typer.echo(f"\n{field.description}? {metadata['reason']}")
        default = previous if previous is not None else _default(field)
        prompt_options = (
            {"default": to_text(default)} if default is not None else {}
        )
        if default is None:
            typer.echo(f"For example: {to_text(metadata['example'])}")
        while True:
            text = typer.prompt(f"  {name}", **prompt_options)
            value = from_text(text, metadata["example"])
            advice = _validation_advice(
                model, name, value
            ) or self._unknown_domain_advice(name, value)
            if advice is None:
                return value
            typer.echo(f"  {advice}")

    def _unknown_domain_advice(
        self, name: str, value: typing.Any
    ) -> str | None:
        if name != "failure_domain" or value in self.known_domains:
            return None
        return f"write one of: {', '.join(self.known_domains)}"

    def confirm(self, text: str, default: bool) -> bool:
        """Ask a yes-or-no question."""
        return typer.confirm(f"\n{text}", default=default)


def to_text(value: typing.Any) -> str:
    """Return a value in the form in which it is typed in the terminal."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value) or "none"
    return str(value)


def from_text(text: str, example: typing.Any) -> typing.Any:
    """Convert typed text to the type of the example, if possible."""
    stripped = text.strip()
    if isinstance(example, bool):
        boolean_by_word = {"yes": True, "y": True, "true": True}
        boolean_by_word |= {"no": False, "n": False, "false": False}
        return boolean_by_word.get(stripped.lower(), stripped)
    if isinstance(example, list):
        if stripped.lower() in ("", "none"):
            return []
        return [item.strip() for item in stripped.split(",")]
    if isinstance(example, int | float):
        try:
            return type(example)(stripped)
        except ValueError:
            return stripped
    return stripped


def _default(field: typing.Any) -> typing.Any:
    value = field.get_default(call_default_factory=True)
    if value is pydantic_core.PydanticUndefined:
        return None
    return value


def _validation_advice(
    model: type[pydantic.BaseModel], name: str, value: typing.Any
) -> str | None:
    field = model.model_fields[name]
    annotation = typing.Annotated[field.annotation, field]
    try:
        pydantic.TypeAdapter(annotation).validate_python(value, strict=True)
    except pydantic.ValidationError as error:
        return answers_file.advice(error.errors()[0], (name,))
    return None


def ask_all(previous: Table) -> Table:
    """Ask the whole questionnaire, with earlier answers as defaults."""
    prompter = Prompter()
    result = dict(previous)
    result["deployment"] = prompter.ask_table(
        answers_module.Deployment, previous.get("deployment", {})
    )
    result["failure_domains"] = _ask_list(
        prompter,
        "failure_domains",
        previous.get("failure_domains", []),
        _ask_table,
    )
    prompter.known_domains = [
        domain["name"] for domain in result["failure_domains"]
    ]
    result["services"] = _ask_list(
        prompter, "services", previous.get("services", []), _ask_service
    )
    return result


AskEntry = typing.Callable[[Prompter, type[pydantic.BaseModel], Table], Table]


def _ask_list(
    prompter: Prompter,
    section: str,
    previous: list[Table],
    ask_entry: AskEntry,
) -> list[Table]:
    label, model = _SECTIONS[section]
    result = []
    for item in previous:
        name = item.get("name", item.get("id"))
        if not prompter.confirm(f"Keep the {label} {name}?", True):
            continue
        if prompter.confirm(f"Revise the {label} {name}?", False):
            item = ask_entry(prompter, model, item)
        result.append(item)
    while not result or prompter.confirm(f"Add a {label}?", not previous):
        if previous and not result:
            typer.echo(f"There must be at least one {label}.")
        result.append(ask_entry(prompter, model, {}))
    return result


def _ask_table(
    prompter: Prompter, model: type[pydantic.BaseModel], previous: Table
) -> Table:
    return prompter.ask_table(model, previous)


def _ask_service(
    prompter: Prompter, model: type[pydantic.BaseModel], previous: Table
) -> Table:
    result = prompter.ask_table(model, previous)
    result["each_host"] = prompter.ask_table(
        answers_module.HostTraits, previous.get("each_host", {})
    )
    hosts = previous.get("hosts", [])
    result["hosts"] = _ask_list(prompter, "hosts", hosts, _ask_table)
    return result


def render(table: Table) -> str:
    """Return the text of a new answers file with questions as comments."""
    document = tomlkit.document()
    for text in HEADER.splitlines():
        document.add(tomlkit.comment(text))
    for name, value in _ordered_items(table, answers_module.Answers):
        document.add(tomlkit.nl())
        document.add(name, _toml_item(value, _model_of(name)))
    return tomlkit.dumps(document)


def _model_of(name: str) -> type[pydantic.BaseModel] | None:
    if name in _SECTIONS:
        return _SECTIONS[name][1]
    return {
        "deployment": answers_module.Deployment,
        "each_host": answers_module.HostTraits,
    }.get(name)


def _ordered_items(
    table: Table, model: type[pydantic.BaseModel]
) -> collections.abc.Iterator[tuple[str, typing.Any]]:
    for name in model.model_fields:
        if name in table:
            yield name, table[name]


def _toml_item(
    value: typing.Any, model: type[pydantic.BaseModel] | None
) -> typing.Any:
    """Return a TOML item; only the first entry of a list has comments."""
    if model is None:
        return value
    if isinstance(value, list):
        array = tomlkit.aot()
        for position, entry in enumerate(value):
            array.append(_new_table(entry, model, position == 0))
        return array
    return _new_table(value, model, True)


def _new_table(
    value: Table, model: type[pydantic.BaseModel], with_questions: bool
) -> tomlkit.items.Table:
    table = tomlkit.table()
    for name, entry in _ordered_items(value, model):
        field = model.model_fields[name]
        if with_questions and field.description:
            table.add(tomlkit.comment(f"{field.description}?"))
        table.add(name, _toml_item(entry, _model_of(name)))
    return table


def revise(text: str, table: Table) -> str:
    """Return the text of an answers file with new values and its comments."""
    document = tomlkit.parse(text)
    _update(document, table, answers_module.Answers)
    return tomlkit.dumps(document)


def _update(
    container: typing.Any, table: Table, model: type[pydantic.BaseModel] | None
) -> None:
    """Update the values in place, so that comments are kept."""
    for name in [name for name in container if name not in table]:
        del container[name]
    for name, value in table.items():
        inner_model = _model_of(name)
        if name not in container:
            container[name] = _toml_item(value, inner_model)
        elif isinstance(value, dict):
            _update(container[name], value, inner_model)
        elif isinstance(container[name], tomlkit.items.AoT):
            _update_list(container[name], value, inner_model)
        elif container[name] != value:
            container[name] = value


def _update_list(
    array: tomlkit.items.AoT,
    values: list[Table],
    model: type[pydantic.BaseModel] | None,
) -> None:
    value_by_name = {_name_or_id(value): value for value in values}
    for position in reversed(range(len(array))):
        if _name_or_id(array[position]) not in value_by_name:
            del array[position]
    entry_by_name = {_name_or_id(entry): entry for entry in array}
    for name, value in value_by_name.items():
        if name in entry_by_name:
            _update(entry_by_name[name], value, model)
        elif model is not None:
            array.append(_new_table(value, model, False))


def _name_or_id(value: typing.Any) -> typing.Any:
    return value.get("name", value.get("id"))


def write(path: pathlib.Path, text: str) -> None:
    """Validate and write an answers file.

    Answers that are invalid in combination go to a draft file in the same
    folder instead, so that they need not be typed again.

    :raises errors.InvalidAnswers: when the answers are invalid.
    :raises errors.InvalidSettings: when the file cannot be written.
    """
    try:
        answers_file.validate(tomlkit.parse(text).unwrap(), str(path))
    except errors.InvalidAnswers:
        draft = path.with_name(f"{path.name}.draft")
        _write_text(draft, text)
        output.note(f"{draft}: answers saved; correct them and use --answers")
        raise
    _write_text(path, text)
    output.line(f"{path}: answers written")


def _write_text(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise errors.InvalidSettings(
            str(path), "(file)", error.strerror, "name a writable file"
        ) from error
