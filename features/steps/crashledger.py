"""Steps on the ledger of crashes."""

import itertools

from behave import given, then, when

from baobabturn.quarantine.evidence import Crash, PartEvidence
from baobabturn.quarantine.ledger import CrashLedger
from features.fleetcase import FleetClock

# Time between crashes of different engines.
CRASH_INTERVAL_S = 0.05
MS_PER_S = 1000


@given('a ledger that knows answers to "{parts}"')
def ledger_with_answers(context, parts):
    context.clock = FleetClock()
    context.ledger = CrashLedger(clock=context.clock)
    context.engines = itertools.count(1)
    answered(context, parts)


@given('it knows answers to "{parts}"')
def answered(context, parts):
    context.ledger.record_answer(parts.split(","), began_at=context.clock())


def crash(context, *prompts):
    """Let an engine crash under some prompts; time passes."""
    context.clock.now += CRASH_INTERVAL_S
    engine = f"e{next(context.engines)}"
    stamp_ms = int(context.clock() * MS_PER_S)
    for parts in prompts:
        context.ledger.record_crash(engine, parts.split(","), stamp_ms=stamp_ms)
    context.clock.now += CRASH_INTERVAL_S


@when('{count:d} engines crash under "{parts}" within {ms:d} ms, one after the other')
def crash_in_turn(context, count, parts, ms):
    began_ms = int(context.clock() * MS_PER_S)
    for _ in range(count):
        stamp_ms = began_ms + ms // count
        context.ledger.record_crash(
            f"e{next(context.engines)}",
            parts.split(","),
            stamp_ms=stamp_ms,
            began_ms=began_ms,
        )
        began_ms = stamp_ms


@when('{count:d} engines crash at once under "{parts}"')
def crash_at_once(context, count, parts):
    context.clock.now += 1.0
    for number in range(count):
        stamp_ms = int(context.clock() * MS_PER_S) + number
        engine = f"e{next(context.engines)}"
        context.ledger.record_crash(engine, parts.split(","), stamp_ms=stamp_ms)


@when('engines crash under "{parts}" {count:d} times')
def crashes(context, parts, count):
    for _ in range(count):
        crash(context, parts)


@when('engines crash under "{parts}" {count:d} times, twice beside "{beside}"')
def crashes_beside(context, parts, count, beside):
    for number in range(count):
        others = [beside] if number < 2 else []
        crash(context, *others, f"shared,other{number}", parts)


@when('two hosts report the same {count:d} crashes under "{parts}"')
def same_crashes(context, count, parts):
    for number in range(count):
        crash(context, parts)
        sighting = Crash(
            endpoint=f"e{number + 1}",
            stamp_ms=int((context.clock() - CRASH_INTERVAL_S) * MS_PER_S) + 300,
        )
        context.ledger.merge(
            [PartEvidence(part=part, crashes=[sighting]) for part in parts.split(",")]
        )


@when('engines crash under "{part}" followed by {count:d} different parts')
def first_part(context, part, count):
    for number in range(count):
        crash(context, f"{part},rest{number}")


@when('an answer to "{parts}" that began after them is written')
def later_answer(context, parts):
    context.clock.now += 1
    began_at = context.clock()
    context.clock.now += 1
    context.ledger.record_answer(parts.split(","), began_at=began_at)


@when('an answer to "{parts}" begins')
def answer_begins(context, parts):
    context.answer = parts.split(","), context.clock()


@when("that answer is written")
def answer_written(context):
    parts, began_at = context.answer
    context.ledger.record_answer(parts, began_at=began_at)


@when("the ledger is {seconds:d} seconds older")
def ledger_older(context, seconds):
    context.clock.now += seconds


@when(
    "engines crash under {count:d} different prompts, and {others:d} others are"
    " answered"
)
def many_prompts(context, count, others):
    for number in range(count):
        crash(context, f"odd{number}")
    for number in range(others):
        context.ledger.record_answer([f"sound{number}"], began_at=context.clock())


@then('"{parts}" is refused')
def refused(context, parts):
    assert context.ledger.remaining_s(parts.split(",")) > 0


@then('"{parts}" is refused for {seconds:d} seconds')
def refused_for(context, parts, seconds):
    remaining_s = context.ledger.remaining_s(parts.split(","))
    assert seconds - 2 * CRASH_INTERVAL_S <= remaining_s <= seconds, remaining_s


@then('"{parts}" isn\'t refused')
def not_refused(context, parts):
    remaining_s = context.ledger.remaining_s(parts.split(","))
    assert not remaining_s, remaining_s


@then("the ledger holds at most {parts:d} parts and {answered_count:d} answered ones")
def bounded(context, parts, answered_count):
    context.ledger.active_parts()
    assert len(context.ledger.records) <= parts, len(context.ledger.records)
    assert len(context.ledger.answered) <= answered_count
