"""Decides which gateways the directory lists for a caller, and how often.

A caller picks one of the listed addresses at random, so the chance to be listed decides
how many callers a gateway gets.  Callers are sent to gateways of their own failure
domain, to each in proportion to its capacity.  A part of the answers lists gateways of
the region's other failure domains where the own ones are overloaded or few.

Gateways learn of each other's load some seconds late, and callers keep an answer for
some seconds.  So the part that is sent elsewhere rises smoothly with the load, and
slowly enough that the load settles in place of swinging between failure domains.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

import attrs

PER_THOUSAND = 1000
# With fewer gateways in the caller's failure domain, all of the region are listed.
MIN_OWN_GATEWAYS = 2
# A failure domain whose gateways use more than this part of their capacity sends
# callers elsewhere, if those of other failure domains use less.
CROWDED_LOAD = 0.6
# The part of callers sent elsewhere for each unit of load above that.  At twice this
# ratio callers swing between failure domains if demand rises by half in one of them
# and loads are known 6 s late.
SPILL_PER_LOAD = 1.0
# A failure domain with less than this part of the others' mean capacity has too little
# for its callers, whatever load it has reported so far.
FEW_RATIO = 0.5
# The least headroom by which a full failure domain is weighted.
MIN_HEADROOM = 0.05
# If the address that a caller picks fails, it has others.
MIN_ADDRESSES = 3
ROUNDING = 1e-9

OWN, CROWDED, FEW, NONE = "own", "crowded", "few", "none"


@attrs.frozen(kw_only=True)
class ServingGateway:
    """A gateway that callers may be sent to.

    ``region`` is empty if it isn't known.  ``capacity`` is in thousandths of a core and
    ``load`` in thousandths of the capacity, 0 if the gateway doesn't tell them.
    ``has_paths`` says that it reaches all services.
    """

    address: str
    failure_domain: str
    region: str = ""
    capacity: int = 0
    load: int = 0
    has_paths: bool = True


@attrs.frozen(kw_only=True)
class DomainCapacity:
    """The capacity of a failure domain's gateways, and the part of it that they use."""

    capacity: float
    load: float


@attrs.frozen(kw_only=True)
class CallerShares:
    """The share of callers that each address gets, and why others than the own do."""

    weights: dict[str, float]
    reason: str


def in_callers_reach(
    gateways: list[ServingGateway], *, region: str, homes: Collection[str]
) -> list[ServingGateway]:
    """Return the gateways of the caller's region that reach all services.

    If the region has none, return those of the home regions, and else all.  Gateways
    that don't reach all services are left out unless there are no others.
    """
    for allowed in ([region], homes):
        found = [each for each in gateways if each.region and each.region in allowed]
        if found:
            return with_paths(found)
    return with_paths(gateways)


def with_paths(gateways: list[ServingGateway]) -> list[ServingGateway]:
    """Return the gateways that reach all services, all if none does."""
    return [each for each in gateways if each.has_paths] or gateways


def caller_shares(gateways: list[ServingGateway], failure_domain: str) -> CallerShares:
    """Return how callers of a failure domain are shared among a region's gateways.

    Example::

        >>> pair = [
        ...     ServingGateway(address=name, failure_domain="a", capacity=capacity)
        ...     for name, capacity in (("small", 500), ("large", 1500))
        ... ]
        >>> caller_shares(pair, "a").weights
        {'small': 0.25, 'large': 0.75}
    """
    gateways = with_average_capacity(gateways)
    own = [each for each in gateways if each.failure_domain == failure_domain]
    if len(own) < MIN_OWN_GATEWAYS:
        weights = {each.address: float(each.capacity) for each in gateways}
        return CallerShares(weights=weights, reason=FEW if own else NONE)
    domains = domain_capacities(gateways)
    own_domain = domains.pop(failure_domain)
    few = few_part(own_domain, list(domains.values()))
    crowded = crowded_part(own_domain, list(domains.values()))
    own_part = (1 - few) * (1 - crowded)
    headroom = {
        name: each.capacity * max(MIN_HEADROOM, 1 - each.load)
        for name, each in domains.items()
    }
    total = sum(headroom.values())
    parts = {name: (1 - own_part) * each / total for name, each in headroom.items()}
    parts[failure_domain] = own_part
    domains[failure_domain] = own_domain
    weights = {
        each.address: parts[each.failure_domain]
        * each.capacity
        / domains[each.failure_domain].capacity
        for each in gateways
    }
    reason = FEW if few else CROWDED if crowded else OWN
    return CallerShares(weights=weights, reason=reason)


def with_average_capacity(gateways: list[ServingGateway]) -> list[ServingGateway]:
    """Return gateways that all have a capacity: the average where none is told."""
    told = [each.capacity for each in gateways if each.capacity]
    average = max(1, round(sum(told) / len(told))) if told else PER_THOUSAND
    return [
        each if each.capacity else attrs.evolve(each, capacity=average)
        for each in gateways
    ]


def domain_capacities(gateways: Iterable[ServingGateway]) -> dict[str, DomainCapacity]:
    """Return the capacity and load of each failure domain."""
    by_domain: dict[str, list[ServingGateway]] = {}
    for each in gateways:
        by_domain.setdefault(each.failure_domain, []).append(each)
    return {
        name: DomainCapacity(
            capacity=sum(each.capacity for each in members), load=mean_load(members)
        )
        for name, members in by_domain.items()
    }


def mean_load(gateways: list[ServingGateway]) -> float:
    """Return the part of their capacity that gateways use.

    Those that don't tell their load count as the others, but not as crowded.
    """
    told = [each for each in gateways if each.load]
    if not told:
        return 0.0
    told_capacity = sum(each.capacity for each in told)
    used = sum(each.capacity * min(each.load, PER_THOUSAND) for each in told)
    load = used / told_capacity / PER_THOUSAND
    untold_capacity = sum(each.capacity for each in gateways) - told_capacity
    return (load * told_capacity + min(load, CROWDED_LOAD) * untold_capacity) / (
        told_capacity + untold_capacity
    )


def few_part(own: DomainCapacity, others: list[DomainCapacity]) -> float:
    """Return the part of callers to send elsewhere, as the own capacity is small."""
    if not others:
        return 0.0
    mean = sum(each.capacity for each in others) / len(others)
    return max(0.0, 1 - own.capacity / (FEW_RATIO * mean))


def crowded_part(own: DomainCapacity, others: list[DomainCapacity]) -> float:
    """Return the part of callers to send elsewhere, as the own gateways are crowded.

    It is 0 if those of the other failure domains are as crowded.
    """
    if not others:
        return 0.0
    total = sum(each.capacity for each in others)
    other_load = sum(each.load * each.capacity for each in others) / total
    excess = min(own.load - CROWDED_LOAD, own.load - other_load)
    return min(1.0, max(0.0, SPILL_PER_LOAD * excess))


def sample_weighted(
    weights: dict[str, float], *, limit: int, rng: random.Random
) -> list[str]:
    """Return some names in random order, with chances in proportion to their weights.

    There are as many as the weights allow for exact proportions, at least
    ``MIN_ADDRESSES`` and at most ``limit`` where there are that many.  The names are
    drawn by systematic sampling, whose samples have one size.
    """
    names = [name for name, weight in weights.items() if weight > 0]
    if not names:
        return []
    rng.shuffle(names)
    exact = math.floor(sum(weights.values()) / max(weights.values()) + ROUNDING)
    count = min(limit, len(names), max(MIN_ADDRESSES, exact))
    chances = listing_chances({name: weights[name] for name in names}, count)
    position = rng.random()
    chosen = []
    for name in names:
        position += chances[name]
        if position >= 1 - ROUNDING:
            position -= 1
            chosen.append(name)
    rng.shuffle(chosen)
    return chosen


def listing_chances(weights: dict[str, float], count: int) -> dict[str, float]:
    """Return each name's chance to be among ``count``, at most 1, by its weight."""
    chances: dict[str, float] = {}
    rest = dict(weights)
    while rest:
        left, total = count - len(chances), sum(rest.values())
        certain = [n for n, weight in rest.items() if left * weight >= total]
        if not certain:
            chances.update((n, left * weight / total) for n, weight in rest.items())
            break
        for name in certain:
            chances[name] = 1.0
            del rest[name]
    return chances
