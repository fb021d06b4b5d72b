"""Steps of learned lengths."""

import random

from behave import given, then, when

from baobabturn.scheduler.learned import pack, take_in
from baobabturn.scheduler.lengths import Lengths

LIMIT = 100_000


def observe(context, name, tokens, finished):
    context.lengths.observe(*name.split("/"), tokens, finished)


@given("learned lengths that hold at most {count:d} keys")
def step_lengths(context, count):
    context.lengths = Lengths(half_life_samples=200, key_limit=count)
    context.random = random.Random(1)


@when('{count:d} generations of "{name}" of about {tokens:d} tokens ended')
def step_ended(context, count, name, tokens):
    for _ in range(count):
        length = max(1, round(context.random.lognormvariate(0, 0.4) * tokens))
        observe(context, name, length, True)


@when('{count:d} generations of "{name}" of {tokens:d} tokens ended, as many cut at 5')
def step_cut(context, count, name, tokens):
    for _ in range(count):
        observe(context, name, tokens, True)
        observe(context, name, 5, False)


@when("a generation of each of {count:d} kinds ended")
def step_kinds(context, count):
    for number in range(count):
        observe(context, f"w/m/kind-{number}", 10, True)


@when("other learned lengths take in what these hand on")
def step_hand_on(context):
    context.handed = pack(context.lengths)
    context.lengths = Lengths(half_life_samples=200, key_limit=50)
    assert take_in(context.lengths, context.handed) > 0


@when("other learned lengths take in garbage")
def step_garbage(context):
    for body in (b"", b"\x00" * 40, pack(context.lengths)[:-3], b"x" * 5000):
        assert take_in(context.lengths, body) == 0


@then("what was handed on is at most {count:d} bytes")
def step_small(context, count):
    assert len(context.handed) <= count, len(context.handed)


@then('the chance of "{name}" over {tokens:d} tokens is {low:g} to {high:g}')
def step_chance(context, name, tokens, low, high):
    chance = context.lengths.curve(*name.split("/")).survival(0, tokens)
    assert low <= chance <= high, chance


@then('more is expected of "{name}" after {many:d} tokens than after {few:d}')
def step_more(context, name, many, few):
    curve = context.lengths.curve(*name.split("/"))
    assert curve.mean_left(many, LIMIT) > curve.mean_left(few, LIMIT)


@then("no more than {count:d} keys are held")
def step_bounded(context, count):
    assert len(context.lengths.counts) <= count
    assert len(context.lengths.curves) <= count
