"""Writes the records of the wire format that the features compare the schema with.

``wire-numbers.txt`` lists the number, name and type of every field; lines are only ever
added.  ``wire-e17821c.txt`` holds a message of each kind, with every field set, as the
schema of that commit writes it.  Run with ``python -m dev.wirerecords``.
"""

from __future__ import annotations

import functools
import importlib.resources
import pathlib
import re
import sys
import tempfile
from typing import Any

import capnp

import baobabturn.wire

GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "features" / "golden"
NUMBERS = GOLDEN / "wire-numbers.txt"
OLD_SCHEMA = GOLDEN / "wire-e17821c.capnp"
OLD_MESSAGES = GOLDEN / "wire-e17821c.txt"
# Two schemas of one id can't be loaded in one process.
SCHEMA_ID, OLD_SCHEMA_ID = "@0xb8d1f0c45e2a9d17", "@0xb8d1f0c45e2a9d19"
STRUCT = re.compile(r"^struct (\w+) \{")
FIELD = re.compile(r"^\s+(\w+) @(\d+) :([\w()]+);")
# Structs within structs are filled to this depth; none of the schema is deeper.
MAX_DEPTH = 8


def schema_text() -> str:
    """Return the text of the schema."""
    return (
        importlib.resources.files(baobabturn.wire).joinpath("schema.capnp").read_text()
    )


@functools.cache
def load_old_schema() -> Any:
    """Return the schema of the commit e17821c, which can be loaded only once."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "old.capnp"
        path.write_text(OLD_SCHEMA.read_text().replace(SCHEMA_ID, OLD_SCHEMA_ID))
        return capnp.load(str(path))


def field_lines(text: str) -> dict[str, str]:
    """Return the name and type of each field of a schema's text by struct and number.

    Example::

        >>> field_lines("struct Ack {\\n  revision @0 :UInt64;\\n}")
        {'Ack @0': 'revision :UInt64'}
    """
    found: dict[str, str] = {}
    struct = ""
    for line in text.splitlines():
        head, field = STRUCT.match(line), FIELD.match(line)
        if head:
            struct = head[1]
        elif field:
            found[f"{struct} @{field[2]}"] = f"{field[1]} :{field[3]}"
    return found


def recorded_lines() -> dict[str, str]:
    """Return the recorded name and type of each field by struct and number."""
    found = {}
    for line in NUMBERS.read_text().splitlines():
        struct, number, field = line.split(" ", 2)
        found[f"{struct} {number}"] = field
    return found


def broken_promises(recorded: dict[str, str], current: dict[str, str]) -> list[str]:
    """Return the recorded fields that a schema has no longer or otherwise."""
    return [
        f"{place} is {current.get(place, 'gone')}, was {field}"
        for place, field in recorded.items()
        if current.get(place) != field
    ]


def filled(schema: Any, depth: int = MAX_DEPTH) -> dict[str, Any]:
    """Return values for all fields of a struct, none of which is a default."""
    return {
        name: filled_value(field.proto.slot.type, schema.fields[name], number, depth)
        for number, (name, field) in enumerate(sorted(schema.fields.items()), start=1)
    }


def filled_value(kind: Any, field: Any, number: int, depth: int) -> Any:
    """Return a value of a field's type that isn't its default."""
    which = str(kind.which())
    if which == "list":
        element = kind.list.elementType
        if str(element.which()) == "struct":
            return [filled(field.schema.elementType, depth - 1)] if depth else []
        return [filled_value(element, field, number, depth)]
    if which == "struct":
        return filled(field.schema, depth - 1)
    values = {"bool": True, "text": f"text {number}", "data": b"data %d" % number}
    return values.get(which, float(number) / 4 if which == "float64" else number)


def message_bytes(schema: Any, member: str) -> bytes:
    """Return a message of one kind with all fields set, as a schema writes it."""
    struct = schema.Envelope.schema.fields["body"].schema.fields[member].schema
    envelope = {"version": 1, "hlc": 2, "call": 3, "reply": True}
    body = {member: filled(struct)}
    return schema.Envelope.new_message(**envelope, body=body).to_bytes()


def members(schema: Any) -> list[str]:
    """Return the kinds of messages of a schema."""
    names = schema.Envelope.schema.fields["body"].schema.fields
    return sorted(name for name in names if name != "none")


def main() -> int:
    """Add new fields to the list, and write the messages of the old schema."""
    current = field_lines(schema_text())
    recorded = recorded_lines() if NUMBERS.exists() else {}
    broken = broken_promises(recorded, current)
    if broken:
        print("\n".join(broken), file=sys.stderr)
        return 1
    lines = [f"{place} {field}\n" for place, field in (recorded | current).items()]
    NUMBERS.write_text("".join(lines))
    old = load_old_schema()
    OLD_MESSAGES.write_text(
        "".join(f"{name} {message_bytes(old, name).hex()}\n" for name in members(old))
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
