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


class Asker:
    """Asks questions in the terminal and repeats each until it is valid.

    ``known_domains`` are the failure domains that a host may be in.
    """

    def __init__(self) -> None:
        self.known_domains: list[str] = []

    def ask_table(
        self, model: type[pydantic.BaseModel], before: Table
    ) -> Table:
        """Ask all questions of a table, with ``before`` as the defaults."""
        result = dict(before)
        for name, field in model.model_fields.items():
            if field.description is None:
                continue
            result[name] = self.ask(model, name, before.get(name))
        return result

    def ask(
        self, model: type[pydantic.BaseModel], name: str, before: typing.Any
    ) -> typing.Any:
        """Ask one question, with the earlier answer as the default."""
        field = model.model_fields[name]
        extra = typing.cast(dict, field.json_schema_extra or {})
        typer.echo(f"\n{field.description}? {extra['reason']}")
        default = before if before is not None else _default(field)
        hint = {"default": to_text(default)} if default is not None else {}
        if default is None:
            typer.echo(f"For example: {to_text(extra['example'])}")
        while True:
            text = typer.prompt(f"  {name}", **hint)
            value = from_text(text, extra["example"])
            fault = _fault(model, name, value) or self._unknown(name, value)
            if fault is None:
                return value
            typer.echo(f"  {fault}")

    def _unknown(self, name: str, value: typing.Any) -> str | None:
        if name != "failure_domain" or value in self.known_domains:
            return None
        return f"write one of: {', '.join(self.known_domains)}"

    def confirm(self, text: str, default: bool) -> bool:
        """Ask a question whose answer is yes or no."""
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
        words = {"yes": True, "y": True, "true": True}
        words |= {"no": False, "n": False, "false": False}
        return words.get(stripped.lower(), stripped)
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


def _fault(
    model: type[pydantic.BaseModel], name: str, value: typing.Any
) -> str | None:
    field = model.model_fields[name]
    annotation = typing.Annotated[field.annotation, field]
    try:
        pydantic.TypeAdapter(annotation).validate_python(value, strict=True)
    except pydantic.ValidationError as error:
        return answers_file.advice(error.errors()[0], (name,))
    return None


def ask_all(before: Table) -> Table:
    """Ask the whole questionnaire, with earlier answers as defaults."""
    asker = Asker()
    result = dict(before)
    result["deployment"] = asker.ask_table(
        answers_module.Deployment, before.get("deployment", {})
    )
    result["failure_domains"] = _ask_list(
        asker, "failure_domains", before.get("failure_domains", []), _plain
    )
    asker.known_domains = [d["name"] for d in result["failure_domains"]]
    result["services"] = _ask_list(
        asker, "services", before.get("services", []), _with_hosts
    )
    return result


AskItem = typing.Callable[[Asker, type[pydantic.BaseModel], Table], Table]


def _ask_list(
    asker: Asker, section: str, before: list[Table], ask_item: AskItem
) -> list[Table]:
    word, model = _SECTIONS[section]
    result = []
    for item in before:
        name = item.get("name", item.get("id"))
        if not asker.confirm(f"Keep the {word} {name}?", True):
            continue
        if asker.confirm(f"Revise the {word} {name}?", False):
            item = ask_item(asker, model, item)
        result.append(item)
    while not result or asker.confirm(f"Add a {word}?", not before):
        if before and not result:
            typer.echo(f"There must be at least one {word}.")
        result.append(ask_item(asker, model, {}))
    return result


def _plain(
    asker: Asker, model: type[pydantic.BaseModel], before: Table
) -> Table:
    return asker.ask_table(model, before)


def _with_hosts(
    asker: Asker, model: type[pydantic.BaseModel], before: Table
) -> Table:
    result = asker.ask_table(model, before)
    result["each_host"] = asker.ask_table(
        answers_module.HostTraits, before.get("each_host", {})
    )
    hosts = before.get("hosts", [])
    result["hosts"] = _ask_list(asker, "hosts", hosts, _plain)
    return result


def render(table: Table) -> str:
    """Return the text of a new answers file with questions as comments."""
    document = tomlkit.document()
    for text in HEADER.splitlines():
        document.add(tomlkit.comment(text))
    for name, value in _ordered(table, answers_module.Answers):
        document.add(tomlkit.nl())
        document.add(name, _item(value, _model_of(name)))
    return tomlkit.dumps(document)


def _model_of(name: str) -> type[pydantic.BaseModel] | None:
    if name in _SECTIONS:
        return _SECTIONS[name][1]
    return {
        "deployment": answers_module.Deployment,
        "each_host": answers_module.HostTraits,
    }.get(name)


def _ordered(
    table: Table, model: type[pydantic.BaseModel]
) -> collections.abc.Iterator[tuple[str, typing.Any]]:
    for name in model.model_fields:
        if name in table:
            yield name, table[name]


def _item(
    value: typing.Any, model: type[pydantic.BaseModel] | None
) -> typing.Any:
    if model is None:
        return value
    if isinstance(value, list):
        array = tomlkit.aot()
        for position, entry in enumerate(value):
            array.append(_new_table(entry, model, position == 0))
        return array
    return _new_table(value, model, True)


def _new_table(
    value: Table, model: type[pydantic.BaseModel], commented: bool
) -> tomlkit.items.Table:
    table = tomlkit.table()
    for name, entry in _ordered(value, model):
        field = model.model_fields[name]
        if commented and field.description:
            table.add(tomlkit.comment(f"{field.description}?"))
        table.add(name, _item(entry, _model_of(name)))
    return table


def revise(text: str, table: Table) -> str:
    """Return the text of an answers file with new values, same comments."""
    document = tomlkit.parse(text)
    _update(document, table, answers_module.Answers)
    return tomlkit.dumps(document)


def _update(
    container: typing.Any, table: Table, model: type[pydantic.BaseModel] | None
) -> None:
    for name in [name for name in container if name not in table]:
        del container[name]
    for name, value in table.items():
        inner = _model_of(name)
        if name not in container:
            container[name] = _item(value, inner)
        elif isinstance(value, dict):
            _update(container[name], value, inner)
        elif isinstance(container[name], tomlkit.items.AoT):
            _update_list(container[name], value, inner)
        elif container[name] != value:
            container[name] = value


def _update_list(
    array: tomlkit.items.AoT,
    values: list[Table],
    model: type[pydantic.BaseModel] | None,
) -> None:
    wanted = {_name(value): value for value in values}
    for position in reversed(range(len(array))):
        if _name(array[position]) not in wanted:
            del array[position]
    known = {_name(entry): entry for entry in array}
    for name, value in wanted.items():
        if name in known:
            _update(known[name], value, model)
        elif model is not None:
            array.append(_new_table(value, model, False))


def _name(value: typing.Any) -> typing.Any:
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
