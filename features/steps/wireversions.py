"""Steps on messages between an old build and this one."""

from unittest import mock

from behave import then

from baobabturn.core.results import Code, Failure
from baobabturn.wire import codec
from dev.wirerecords import (
    OLD_MESSAGES,
    OLD_SCHEMA,
    broken_promises,
    field_lines,
    filled,
    load_old_schema,
    members,
    message_bytes,
    recorded_lines,
    schema_text,
)

OLD = load_old_schema()
# Fields that the schema keeps and no build uses any more.
UNUSED = {"contactMs"}


def recorded_messages():
    """Return the recorded bytes of each message of the old build."""
    lines = OLD_MESSAGES.read_text().splitlines()
    pairs = (line.split(" ") for line in lines)
    return {name: bytes.fromhex(data) for name, data in pairs}


def struct_of(schema, member):
    """Return the schema of a message."""
    return schema.Envelope.schema.fields["body"].schema.fields[member].schema


def read_here(data):
    """Return what this build reads from some bytes, as nested values."""
    envelope = codec.unpack(data)
    assert not isinstance(envelope, Failure), envelope
    head = (envelope.version, envelope.hlc, envelope.call, envelope.reply)
    assert head == (1, 2, 3, True), head
    return codec.body_name(type(envelope.body)), codec.to_dict(envelope.body)


def differences(wanted, found, place=""):
    """Return the places at which nested values differ from those that are wanted.

    Values that aren't wanted are left out.
    """
    if isinstance(wanted, dict):
        return [
            line
            for name, value in wanted.items()
            if name not in UNUSED
            for line in differences(value, found.get(name), f"{place}.{name}")
        ]
    if isinstance(wanted, list) and isinstance(found, list):
        if len(wanted) != len(found):
            return [f"{place}: {len(found)} items, not {len(wanted)}"]
        return [
            line
            for number, value in enumerate(wanted)
            for line in differences(value, found[number], f"{place}[{number}]")
        ]
    return [] if wanted == found else [f"{place}: {found!r}, not {wanted!r}"]


def added_values(values, old_struct):
    """Yield places and values of the fields that an old struct lacks."""
    for name, value in values.items():
        field = old_struct.fields.get(name)
        if field is None:
            yield name, value
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for place, inner in added_values(value[0], field.schema.elementType):
                yield f"{name}.{place}", inner


@then("each message of the old build is read with its values")
def old_read_here(context):
    recorded = recorded_messages()
    assert sorted(recorded) == members(OLD), sorted(recorded)
    for member, data in recorded.items():
        kind, found = read_here(data)
        assert kind == member, (kind, member)
        wrong = differences(filled(struct_of(OLD, member)), found, member)
        assert not wrong, wrong


@then("what the old build doesn't write is read as its default")
def added_are_defaults(context):
    for member, data in recorded_messages().items():
        _, found = read_here(data)
        added = list(added_values(found, struct_of(OLD, member)))
        assert not [place for place, value in added if value], (member, added)


def written_here(member):
    """Return a message with all fields set as this build writes it, and its values."""
    envelope = codec.unpack(message_bytes(codec.SCHEMA, member))
    assert not isinstance(envelope, Failure), envelope
    return envelope, codec.to_dict(envelope.body)


@then("the old schema reads each message that it knows, with its values")
def new_read_by_old(context):
    for member in members(OLD):
        envelope, values = written_here(member)
        packed = OLD.Envelope.from_bytes_packed(codec.pack_small(envelope))
        with OLD.Envelope.from_bytes(codec.pack(envelope)) as reader:
            for each in (reader, packed):
                assert str(each.body.which()) == member, (member, each.body.which())
                found = getattr(each.body, member).to_dict()
                known = struct_of(OLD, member)
                lacking = {place for place, _ in added_values(values, known)}
                wrong = [
                    line
                    for line in differences(values, found, "")
                    if without_numbers(line) not in lacking
                ]
                assert not wrong, (member, wrong)


def without_numbers(line):
    """Return the place that a difference names, without positions in lists."""
    return line.partition(":")[0].replace("[0]", "").lstrip(".")


@then("the old decoder takes all other messages for unsupported, not for malformed")
def others_unsupported(context):
    others = sorted(set(members(codec.SCHEMA)) - set(members(OLD)))
    assert others
    for member in others:
        envelope, _ = written_here(member)
        for pack, unpack in (
            (codec.pack, codec.unpack),
            (codec.pack_small, codec.unpack_small),
        ):
            data = pack(envelope)
            with mock.patch.object(codec, "SCHEMA", OLD):
                refused = unpack(data)
            assert isinstance(refused, Failure), (member, refused)
            assert refused.code is Code.UNSUPPORTED, (member, refused)


@then('only the schema here has "{names}" in "{struct}"')
def only_here(context, names, struct):
    found = []
    for schema in (codec.SCHEMA, OLD):
        if struct == "Envelope.body":
            found.append(set(members(schema)))
        else:
            found.append(set(getattr(schema, struct).schema.fields))
    here, old = found
    assert old < here and set(names.split()) <= here - old, here - old


@then("each recorded field is in the schema as it was recorded")
def record_kept(context):
    broken = broken_promises(recorded_lines(), field_lines(schema_text()))
    assert not broken, broken


@then("each field of the schema is recorded")
def all_recorded(context):
    missing = field_lines(schema_text()).keys() - recorded_lines().keys()
    assert not missing, f"run python -m dev.wirerecords: {sorted(missing)}"


@then("each field of the old build is recorded as it was")
def old_recorded(context):
    broken = broken_promises(field_lines(OLD_SCHEMA.read_text()), recorded_lines())
    assert not broken, broken


@then('a schema with "{new}" in place of "{old}" breaks the record of "{place}"')
@then('a schema with "" in place of "{old}" breaks the record of "{place}"')
def record_broken(context, old, place, new=""):
    text = schema_text()
    assert old in text, old
    broken = broken_promises(recorded_lines(), field_lines(text.replace(old, new, 1)))
    assert any(line.startswith(f"{place} is ") for line in broken), broken
