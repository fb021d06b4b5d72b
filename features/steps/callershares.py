"""Steps on which gateways are listed for callers, and how often."""

import collections
import math
import random

import attrs
from behave import given, then, when

from baobabturn.gateway.directory import MAX_ADDRESSES
from baobabturn.gateway.ownload import AVERAGE_S
from baobabturn.placement.callershares import (
    MIN_ADDRESSES,
    PER_THOUSAND,
    ServingGateway,
    caller_shares,
    domain_capacities,
    in_callers_reach,
    sample_weighted,
)

CAPACITIES = (400, 516, 900, 1300, 2150)
USUAL_DEMAND = 0.6
# Callers ask anew every 2 s, a quarter of them in each step.
STEP_S, ASKING_RATIO = 0.5, 0.25
SETTLED_S = 60.0


def make_gateways(domains, count, load=0, region="r"):
    """Return gateways of unequal capacity, the same in each failure domain."""
    return [
        ServingGateway(
            address=f"{domain}{number}",
            failure_domain=domain,
            region=region,
            capacity=CAPACITIES[number % len(CAPACITIES)],
            load=load,
        )
        for domain in domains
        for number in range(count)
    ]


@given(
    'gateways in the failure domains "{domains}", {count:d} in each, at {load:d}% load'
)
def some_gateways(context, domains, count, load):
    context.gateways = make_gateways(domains.split(), count, load * 10)


@given('only {count:d} gateways of "{domain}" are left')
def few_left(context, count, domain):
    own = [each for each in context.gateways if each.failure_domain == domain]
    gone = {each.address for each in own[count:]}
    context.gateways = [each for each in context.gateways if each.address not in gone]


@given("every second gateway is of a build that tells neither")
def old_builds(context):
    context.gateways = [
        attrs.evolve(each, capacity=0, load=0) if number % 2 else each
        for number, each in enumerate(context.gateways)
    ]


@given(
    'those of "{domain}" that tell their load are at {load:d}%, and every second tells'
    " none"
)
def crowded_and_old(context, domain, load):
    # Pairs of equal capacity, so that half of the capacity tells its load.
    context.gateways = [
        each
        if each.failure_domain != domain
        else attrs.evolve(each, capacity=1000, load=0 if number % 2 else load * 10)
        for number, each in enumerate(context.gateways)
    ]


@when('callers of "{domain}" ask for addresses {count:d} times')
def callers_ask(context, domain, count):
    rng = random.Random(count)
    shares = caller_shares(context.gateways, domain)
    context.reason = shares.reason
    context.answers = [
        sample_weighted(shares.weights, limit=MAX_ADDRESSES, rng=rng)
        for _ in range(count)
    ]


def picked(context):
    """Return the part of the callers at each address, who pick at random."""
    parts = collections.Counter()
    for answer in context.answers:
        for address in answer:
            parts[address] += 1 / len(answer) / len(context.answers)
    return parts


@then(
    'each gateway of "{domain}" gets its share of the capacity, and the others get none'
)
def shares_of_capacity(context, domain):
    parts = picked(context)
    told = [each.capacity for each in context.gateways if each.capacity]
    average = sum(told) / len(told)
    own = [each for each in context.gateways if each.failure_domain == domain]
    total = sum(each.capacity or average for each in own)
    for each in own:
        expected = (each.capacity or average) / total
        error = abs(parts.pop(each.address) - expected)
        assert error < 0.15 * expected, (each, error, expected)
    assert not parts, parts


@then("every answer lists at least {count:d} addresses")
def enough_addresses(context, count):
    assert count == MIN_ADDRESSES
    fewest = min(context.answers, key=len)
    assert len(set(fewest)) >= count, fewest


@then('all answers list gateways of "{domain}" alone')
def own_alone(context, domain):
    named = {address for answer in context.answers for address in answer}
    assert all(address.startswith(domain) for address in named), named


@then(
    '{low:d}% to {high:d}% of the callers are sent to "{domain}", because there are'
    ' "{reason}"'
)
def part_sent(context, low, high, domain, reason):
    own = sum(
        part for address, part in picked(context).items() if address[0] == domain[0]
    )
    assert low <= 100 * own <= high, own
    assert context.reason == reason, context.reason


@given(
    "failure domains of {count:d} gateways, whose callers use 60% of the capacity of"
    " each"
)
def domains_in_use(context, count):
    context.gateways = make_gateways("abc", count)


@when(
    "the demand of one domain rises by {rise:d}% for {seconds:d} seconds, and loads are"
    " known {late:d} seconds late"
)
def demand_rises(context, rise, seconds, late):
    demand = dict.fromkeys("abc", USUAL_DEMAND)
    demand["a"] *= 1 + rise / 100
    context.demand, context.history = simulate(
        context.gateways, demand, steps=int(seconds / STEP_S), late=int(late / STEP_S)
    )


def simulate(gateways, demand, *, steps, late):
    """Return the demand that each domain gets, and the own share of "a", by step.

    Demand is in units of a domain's capacity.
    """
    domains = domain_capacities(gateways)
    sent = {
        name: {other: float(name == other) for other in domains} for name in domains
    }
    told = [dict.fromkeys(domains, USUAL_DEMAND)]
    arriving, own = [], []
    for _ in range(steps):
        known = told[max(0, len(told) - 1 - late)]
        loaded = [
            attrs.evolve(each, load=round(PER_THOUSAND * known[each.failure_domain]))
            for each in gateways
        ]
        for name, parts in sent.items():
            shares = caller_shares(loaded, name)
            wanted = collections.Counter()
            for each in gateways:
                wanted[each.failure_domain] += shares.weights[each.address]
            for other in parts:
                parts[other] += ASKING_RATIO * (wanted[other] - parts[other])
        got = {
            other: sum(demand[name] * sent[name][other] for name in domains)
            for other in domains
        }
        weight = 1 - math.exp(-STEP_S / AVERAGE_S)
        told.append(
            {
                name: told[-1][name] + weight * (min(1.0, got[name]) - told[-1][name])
                for name in domains
            }
        )
        arriving.append(got)
        own.append(sent["a"]["a"])
    return arriving, own


@then("from then on all domains are used below {most:d}% of their capacity")
def used_below(context, most):
    for got in context.demand[-int(SETTLED_S / STEP_S) :]:
        assert max(got.values()) < most / 100, got


@then("the callers' shares have settled")
def shares_settled(context):
    last = context.history[-int(SETTLED_S / STEP_S) :]
    assert max(last) - min(last) < 0.02, (min(last), max(last))
    assert max(last) < 1, max(last)


@given("gateways of two regions, of which {what}")
def gateways_of_regions(context, what):
    first = make_gateways("a", 5, region="first")
    if what == "all serve":
        first[0] = attrs.evolve(first[0], has_paths=False)
    elif what == "those of the first lost a path":
        first = [attrs.evolve(each, has_paths=False) for each in first]
    else:
        first = []
    context.gateways = [
        *first,
        *make_gateways("b", 5, region="second"),
        *make_gateways("c", 5, region="third"),
    ]


@then('callers of the first region, with homes "{homes}", reach {reached}')
@then('callers of the first region, with homes "", reach {reached}')
def reach(context, reached, homes=""):
    found = in_callers_reach(context.gateways, region="first", homes=set(homes.split()))
    wanted = {
        "the whole ones of the first region": [f"a{n}" for n in range(1, 5)],
        "all of the first region": [f"a{n}" for n in range(5)],
        "all of the second and third region": [
            f"{d}{n}" for d in "bc" for n in range(5)
        ],
        "all of the third region": [f"c{n}" for n in range(5)],
    }
    assert [each.address for each in found] == wanted[reached], found
