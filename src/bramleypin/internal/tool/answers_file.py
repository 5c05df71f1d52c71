"""Loads the answers file and reports invalid answers with a remedy."""

import difflib
import pathlib
import tomllib
import typing

import pydantic

from bramleypin import errors
from bramleypin.internal.tool import answers as answers_module

# What to write instead, by the type of the pydantic error.
_EXAMPLE_BY_TYPE = {
    "int_type": "a whole number without quotes, for example 5",
    "int_from_float": "a whole number, for example 5",
    "float_type": "a number without quotes, for example 0.25",
    "string_type": 'text in quotes, for example "waco"',
    "bool_type": "true or false, without quotes",
    "list_type": 'a list in brackets, for example ["POST", "PATCH"]',
    "model_type": "a table, for example [services.each_host]",
    "finite_number": "a finite number, for example 0.25",
}


def load(path: pathlib.Path) -> answers_module.Answers:
    """Read and validate an answers file.

    :raises errors.InvalidSettings: when it cannot be read or parsed.
    :raises errors.InvalidAnswers: with an error for each invalid answer.
    """
    return validate(read_table(path), str(path))


def read_table(path: pathlib.Path) -> dict[str, typing.Any]:
    """Read a TOML file without validating its contents.

    :raises errors.InvalidSettings: when it cannot be read or parsed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidSettings(
            str(path), "(file)", str(error), "name a readable UTF-8 TOML file"
        ) from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.InvalidSettings(
            str(path),
            "(TOML syntax)",
            str(error),
            "correct the syntax at this position",
        ) from error


def validate(
    table: dict[str, typing.Any], file: str
) -> answers_module.Answers:
    """Validate the contents of an answers file.

    :raises errors.InvalidAnswers: with an error for each invalid answer.
    """
    try:
        return answers_module.Answers.model_validate(table)
    except pydantic.ValidationError as error:
        invalid_answers = [
            _settings_error(file, table, validation_error)
            for validation_error in error.errors()
        ]
        raise errors.InvalidAnswers(invalid_answers) from None


def _settings_error(
    file: str, table: dict[str, typing.Any], validation_error: typing.Any
) -> errors.InvalidSettings:
    location = validation_error["loc"]
    value = (
        None
        if validation_error["type"] == "missing"
        else validation_error["input"]
    )
    if isinstance(value, dict | list | pydantic.BaseModel) and location:
        value = _summarise(value)
    elif not location:
        value = "(whole file)"
    return errors.InvalidSettings(
        file, format_key(table, location), value, advice(validation_error)
    )


def _summarise(value: typing.Any) -> str:
    """Return a short text for a table or list in an error message."""
    name = value.get("name") if isinstance(value, dict) else None
    if name is None:
        name = getattr(value, "name", None)
    if name:
        return f"({name})"
    if isinstance(value, list):
        return f"(a list of {len(value)})"
    return "(a table)"


def format_key(table: typing.Any, location: tuple[str | int, ...]) -> str:
    """Return a key such as ``services[scheduler].hosts[waco-1].slots``."""
    text = ""
    value = table
    for part in location:
        if isinstance(part, int):
            value = value[part] if isinstance(value, list) else None
            text += f"[{_entry_name(value, part)}]"
        else:
            value = value.get(part) if isinstance(value, dict) else None
            text += f".{part}" if text else part
    return text or "(top level)"


def _entry_name(value: typing.Any, position: int) -> str:
    if isinstance(value, dict):
        name = value.get("name", value.get("id"))
        if isinstance(name, str):
            return name
    return str(position)


def advice(
    validation_error: typing.Any, location: tuple[str | int, ...] | None = None
) -> str:
    """Return advice on what to write instead for one pydantic error.

    ``location`` replaces the location in the error when a single field was
    validated outside its table.
    """
    if location is None:
        location = validation_error["loc"]
    error_type = validation_error["type"]
    context = validation_error.get("ctx", {})
    if error_type == "advice":
        return validation_error["msg"]
    if error_type == "missing":
        return _missing_advice(location)
    if error_type == "extra_forbidden":
        return _unknown_key_advice(location)
    if error_type == "literal_error":
        return f"write one of: {context['expected']}"
    if error_type == "too_short":
        return f"write a list of length at least {context['min_length']}"
    for name, comparison in (
        ("ge", "at least"),
        ("gt", "more than"),
        ("le", "at most"),
        ("lt", "less than"),
    ):
        if name in context:
            return f"write a number of {comparison} {context[name]:g}"
    if error_type in _EXAMPLE_BY_TYPE:
        return f"write {_EXAMPLE_BY_TYPE[error_type]}"
    return validation_error["msg"]


def model_at_location(
    location: tuple[str | int, ...],
) -> type[pydantic.BaseModel]:
    """Return the model that has the field at a location.

    Positions in lists are skipped, because the annotation of a list already
    gives the model of its entries.
    """
    model: type[pydantic.BaseModel] = answers_module.Answers
    for part in location[:-1]:
        field = model.model_fields.get(part) if isinstance(part, str) else None
        if field is None:
            continue
        for candidate in (
            field.annotation,
            *_type_arguments(field.annotation),
        ):
            if isinstance(candidate, type) and issubclass(
                candidate, pydantic.BaseModel
            ):
                model = candidate
    return model


def _type_arguments(annotation: typing.Any) -> tuple[typing.Any, ...]:
    return typing.get_args(annotation)


def _missing_advice(location: tuple[str | int, ...]) -> str:
    field = model_at_location(location).model_fields.get(str(location[-1]))
    if field is None or field.description is None:
        return "add this table; `bramleypin questionnaire new` asks for it"
    metadata = field.json_schema_extra or {}
    return f"add it ({field.description}), for example {metadata['example']!r}"


def _unknown_key_advice(location: tuple[str | int, ...]) -> str:
    known_keys = list(model_at_location(location).model_fields)
    close_matches = difflib.get_close_matches(
        str(location[-1]), known_keys, n=1
    )
    if close_matches:
        return f"unknown key; did you mean {close_matches[0]}?"
    return f"unknown key; use one of: {', '.join(known_keys)}"
