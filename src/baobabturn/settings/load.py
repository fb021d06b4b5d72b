"""Loads settings in layers: packaged defaults, the user's file, then flags.

A wrong or unknown field ends the program with one line and exit code 2.
"""

from __future__ import annotations

import difflib
import importlib.resources
import json
import pathlib
import re
import typing
from typing import Any

import attrs
import pyjson5

from baobabturn.core.results import Code, Failure
from baobabturn.settings.model import Settings

EXIT_USAGE = 2
ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
NUMBER_TYPES = {int: (int,), float: (int, float)}


@attrs.frozen(kw_only=True)
class Loaded:
    """Checked settings and, for each dotted field, the layer it came from."""

    settings: Settings
    sources: dict[str, str]


def wrong(path: str, value: Any, allowed: str, source: str) -> Failure:
    """Return the failure that names a field, its value and what is allowed."""
    shown = json.dumps(value) if not isinstance(value, Failure) else str(value)
    return Failure(
        Code.SETTINGS_INVALID,
        f"{source}: {path} is {shown[:80]}; allowed: {allowed}",
    )


def check_number(path, value, field, source) -> Failure | None:
    """Return a failure where a number is of a wrong type or out of range."""
    low, high = field.metadata["low"], field.metadata["high"]
    kind = "a whole number" if field.type is int else "a number"
    allowed = f"{kind} from {low:,} to {high:,}"
    right = NUMBER_TYPES[field.type]
    if isinstance(value, bool) or not isinstance(value, right):
        return wrong(path, value, allowed, source)
    if not low <= value <= high:
        return wrong(path, value, allowed, source)
    return None


def check_leaf(path, value, field, source) -> Failure | None:
    """Return a failure where a single field's value isn't allowed."""
    if "low" in field.metadata:
        return check_number(path, value, field, source)
    if "choices" in field.metadata:
        if value not in field.metadata["choices"]:
            words = ", ".join(field.metadata["choices"])
            return wrong(path, value, f"one of {words}", source)
        return None
    if "table" in field.metadata:
        return check_table(path, value, source)
    if field.type is bool and not isinstance(value, bool):
        return wrong(path, value, "true or false", source)
    if field.type is str and not isinstance(value, str):
        return wrong(path, value, "a text", source)
    if typing.get_origin(field.type) is list:
        return check_texts(path, value, field, source)
    return None


def check_texts(path, value, field, source) -> Failure | None:
    """Return a failure where a list isn't of texts, or is too short."""
    least = field.metadata.get("least", 0)
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        return wrong(path, value, "a list of texts", source)
    if field.metadata.get("addresses") and not all(map(ADDRESS.match, value)):
        return wrong(path, value, "a list of address:port", source)
    if len(value) < least or not all(value):
        return wrong(path, value, f"a list of at least {least} texts", source)
    return None


def check_table(path, value, source) -> Failure | None:
    """Return a failure where a table doesn't hold non-empty texts by such texts."""
    if isinstance(value, dict) and all(
        isinstance(each, str) and each for pair in value.items() for each in pair
    ):
        return None
    return wrong(path, value, "a table of texts", source)


def check_layer(kind, layer, source, prefix="") -> Failure | None:
    """Return the first failure in one layer of settings, None where it is good."""
    if not isinstance(layer, dict):
        return wrong(prefix.rstrip(".") or "settings", layer, "an object", source)
    attrs.resolve_types(kind)
    fields = attrs.fields_dict(kind)
    for name, value in layer.items():
        path = f"{prefix}{name}"
        if name not in fields:
            near = difflib.get_close_matches(name, fields, n=1)
            hint = f"; did you mean {prefix}{near[0]}" if near else ""
            known = ", ".join(fields)
            reason = f"{source}: unknown field {path}{hint}; allowed: {known}"
            return Failure(Code.SETTINGS_INVALID, reason)
        field = fields[name]
        if field.type is not None and attrs.has(field.type):
            found = check_layer(field.type, value, source, prefix=path + ".")
        else:
            found = check_leaf(path, value, field, source)
        if found is not None:
            return found
    return None


def merge(base: dict, layer: dict, source: str, sources: dict, prefix="") -> None:
    """Lay one layer over the others in place and note where each field is from."""
    for name, value in layer.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            merge(base.setdefault(name, {}), value, source, sources, path + ".")
        else:
            base[name] = value
            sources[path] = source


def build(kind, values: dict) -> Any:
    """Return an attrs object made from checked nested values."""
    made = {}
    for field in attrs.fields(kind):
        value = values[field.name]
        if attrs.has(field.type):
            made[field.name] = build(field.type, value)
        else:
            made[field.name] = float(value) if field.type is float else value
    return kind(**made)


def packaged_defaults() -> dict:
    """Return the packaged defaults as nested values."""
    text = importlib.resources.files(__package__).joinpath("defaults.jsonc")
    return pyjson5.decode(text.read_text("utf-8"))


def read_file(path: str) -> dict | Failure:
    """Return a settings file's values, or the failure that says what is wrong."""
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        return Failure(Code.SETTINGS_INVALID, f"{path}: {reason}")
    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5DecoderException, RecursionError) as error:
        reason = str(error.args[0] if error.args else error).split("\n")[0]
        return Failure(Code.SETTINGS_INVALID, f"{path}: not JSON: {reason}")


def flag_layer(flags: list[str]) -> dict | Failure:
    """Return the values that ``name.field=value`` flags give.

    A value is read as JSON, and as plain text where it isn't JSON.
    """
    layer: dict = {}
    for flag in flags:
        name, equals, text = flag.partition("=")
        if not equals or not name:
            return Failure(
                Code.SETTINGS_INVALID, f"flag {flag!r}: allowed: section.field=value"
            )
        try:
            value = json.loads(text)
        except ValueError:
            value = text
        *sections, leaf = name.split(".")
        place = layer
        for section in sections:
            place = place.setdefault(section, {})
            if not isinstance(place, dict):
                return Failure(Code.SETTINGS_INVALID, f"flag {flag!r}: not a section")
        place[leaf] = value
    return layer


def load(path: str | None = None, flags: list[str] | None = None) -> Loaded | Failure:
    """Return the effective settings, or the failure that names the wrong field."""
    base: dict = {}
    sources: dict[str, str] = {}
    layers: list[tuple[str, dict | Failure]] = [("defaults", packaged_defaults())]
    if path:
        layers.append((path, read_file(path)))
    if flags:
        layers.append(("flags", flag_layer(flags)))
    for source, layer in layers:
        if isinstance(layer, Failure):
            return layer
        found = check_layer(Settings, layer, source)
        if found is not None:
            return found
        merge(base, layer, source, sources)
    return Loaded(settings=build(Settings, base), sources=sources)
