"""The configuration document that operators hand to the system.

A document is plain data: workspaces, models, endpoints and services by name.
``baobabturn.declare`` prints it, ``baobabturn apply`` checks it and splits it
into parts, and every process reads the parts back into these classes.
"""

from __future__ import annotations

from typing import Any

import cattrs
import cattrs.errors

from baobabturn.config.declared import Document
from baobabturn.core.results import Code, Failure

CONVERTER = cattrs.Converter(forbid_extra_keys=True)
CONVERTER.register_unstructure_hook(
    float, lambda value: int(value) if value == int(value) else value
)


def first_error(error: BaseException, where: str = "") -> str:
    """Return the innermost error of a nested one with the place it is at."""
    notes = [
        note
        for note in getattr(error, "__notes__", [])
        if isinstance(note, (cattrs.errors.AttributeValidationNote, str))
    ]
    for note in notes:
        name = getattr(note, "name", None)
        index = getattr(note, "index", None)
        if name is not None:
            where = f"{where}.{name}" if where else str(name)
        elif index is not None:
            where = f"{where}[{index}]"
    if isinstance(error, BaseExceptionGroup):
        return first_error(error.exceptions[0], where)
    return f"{where}: {error}"


def read_document(values: Any) -> Document | Failure:
    """Return a document made from decoded JSON, or what is wrong with it."""
    if not isinstance(values, dict):
        return Failure(Code.CONFIG_INVALID, "the configuration is not an object")
    try:
        return CONVERTER.structure(values, Document)
    except (cattrs.errors.BaseValidationError, ValueError, TypeError) as error:
        return Failure(Code.CONFIG_INVALID, first_error(error).lstrip("."))


def write_document(document: Document) -> dict:
    """Return a document as values for JSON."""
    return CONVERTER.unstructure(document)
