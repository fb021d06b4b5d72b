"""Steps of learned lengths."""

import random
import time

from behave import given, then, when
from helper import scrape, send, start_fleet, wait_for

from baobabturn.scheduler.learned import merge_lengths, pack_lengths
from baobabturn.scheduler.lengths import LengthModel

LIMIT = 100_000


def observe(context, name, tokens, finished):
    context.lengths.observe(*name.split("/"), tokens, finished)


@given("learned lengths that hold at most {count:d} keys")
def step_lengths(context, count):
    context.lengths = LengthModel(half_life_samples=200, key_limit=count)
    context.random = random.Random(1)


@when('{count:d} generations of "{name}" of about {tokens:d} tokens ended')
def step_ended(context, count, name, tokens):
    for _ in range(count):
        length = max(1, round(context.random.lognormvariate(0, 0.4) * tokens))
        observe(context, name, length, True)


@when(
    '{count:d} generations of "{name}" of {low:d} to {high:d} tokens '
    "with {quality} ended"
)
def step_estimated(context, count, name, low, high, quality):
    def draw_tokens():
        return round(low * (high / low) ** context.random.random())

    for _ in range(count):
        tokens = draw_tokens()
        known = tokens if quality == "estimates" else draw_tokens()
        estimate = round(context.random.lognormvariate(0, 0.3) * known)
        context.lengths.observe(*name.split("/"), tokens, True, max(16, estimate))


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
    context.handed = pack_lengths(context.lengths)
    context.lengths = LengthModel(half_life_samples=200, key_limit=50)
    assert merge_lengths(context.lengths, context.handed) > 0


@when("other learned lengths take in garbage")
def step_garbage(context):
    for body in (b"", b"\x00" * 40, pack_lengths(context.lengths)[:-3], b"x" * 5000):
        assert merge_lengths(context.lengths, body) == 0


@then("what was handed on is at most {count:d} bytes")
def step_small(context, count):
    assert len(context.handed) <= count, len(context.handed)


@then('the chance of "{name}" over {tokens:d} tokens is {low:g} to {high:g}')
def step_chance(context, name, tokens, low, high):
    chance = context.lengths.length_distribution(*name.split("/")).survival(0, tokens)
    assert low <= chance <= high, chance


@then(
    'the chance of "{name}" over {tokens:d} tokens is {low:g} to {high:g} '
    "with an estimate of {estimate:d}"
)
def step_estimated_chance(context, name, tokens, low, high, estimate):
    distribution = context.lengths.length_distribution(*name.split("/"), estimate)
    chance = distribution.survival(0, tokens)
    assert low <= chance <= high, chance


@then('more is expected of "{name}" after {many:d} tokens than after {few:d}')
def step_more(context, name, many, few):
    length_distribution = context.lengths.length_distribution(*name.split("/"))
    assert length_distribution.expected_remaining(
        many, LIMIT
    ) > length_distribution.expected_remaining(few, LIMIT)


@then("no more than {count:d} keys are held")
def step_bounded(context, count):
    assert len(context.lengths.counts) <= count
    assert len(context.lengths.distributions) <= count


def scheduler_metric(context, number, name):
    """Return a gauge of a host's scheduler, 0 where it can't be read."""
    try:
        text = scrape(context.fleet.entry(number)).text
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith(f'baobabturn_{name}{{role="scheduler"'):
            return float(line.rpartition(" ")[2])
    return 0


def pool_owner(context, other_than=None):
    """Return the number of a host whose scheduler owns a pool, None for none."""
    for number in range(len(context.fleet.hosts)):
        if number != other_than and scheduler_metric(context, number, "pools_owned"):
            return number
    return None


@given("a fleet whose schedulers hand on what they learned each {seconds:g} seconds")
def step_fleet(context, seconds):
    start_fleet(
        context,
        "herd",
        False,
        hosts=3,
        engines=2,
        workers=1,
        overrides={"scheduler": {"learned_interval_s": seconds}},
    )


@when("{count:d} short answers have ended and the entries keep what was learned")
def step_answers(context, count):
    for number in range(count):
        body = {
            "model": context.fleet.deployment.model,
            "prompt": f"[tag=learn-{number} length=5]",
        }
        url = context.fleet.entry(number % 3) + "/v1/completions"
        answer = send(url, key="key-buyers", body=body)
        assert answer.status == 200, answer.text
    found = wait_for(lambda: pool_owner(context) is not None, "an owner")
    assert found
    context.owner = pool_owner(context)
    context.known = wait_for(
        lambda: scheduler_metric(context, context.owner, "learned_keys"), "lengths"
    )
    time.sleep(1.0)


@when("the owner of what was learned is killed")
def step_killed(context):
    host = context.fleet.hosts[context.owner].name
    context.fleet.kill(f"scheduler@{host}")


@then("another scheduler owns the pool and knows as many lengths")
def step_next_owner(context):
    def known_elsewhere():
        number = pool_owner(context, other_than=context.owner)
        if number is None:
            return False
        return scheduler_metric(context, number, "learned_keys") >= context.known

    wait_for(known_elsewhere, "the next owner to know the lengths")
