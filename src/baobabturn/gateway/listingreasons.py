"""Says to operators which gateways callers of a place are sent to, and why.

It chooses as the directory does, but samples, counts and logs nothing.
"""

from __future__ import annotations

import attrs

from baobabturn.gateway.directory import (
    AddressGroup,
    Directory,
    ListingRule,
    Placement,
)
from baobabturn.gateway.platforminterface import CallerPlace
from baobabturn.placement.callershares import ServingGateway, with_paths


@attrs.frozen(kw_only=True)
class ListedGateway:
    """A gateway that callers are told of, and the part of them that it gets."""

    address: str
    failure_domain: str
    part: float


@attrs.frozen(kw_only=True)
class ListingReason:
    """Why callers of a place are sent to some gateways, the likeliest ones first.

    ``detail`` is the reason of ``CallerShares``, empty for rules other than shares.
    Without gateways, none is known to be serving.
    """

    rule: ListingRule
    detail: str
    gateways: list[ListedGateway]


def listing_reason(directory: Directory, caller: CallerPlace) -> ListingReason:
    """Return to which gateways a directory sends callers of a place, and why."""
    rule, homes = directory.rule(caller)
    detail = ""
    if rule is ListingRule.SHARES:
        placement = directory.placement(caller, homes)
        detail = placement.shares.reason
        gateways = listed_by_shares(placement)
    elif rule is ListingRule.REACH:
        gateways = listed_evenly(directory.in_reach(caller, homes))
    elif rule is ListingRule.LARGE_FLEET:
        gateways = listed_by_groups(directory.groups(caller, homes))
    else:
        gateways = listed_evenly(with_paths(directory.serving()))
    gateways.sort(key=lambda each: (-each.part, each.address))
    return ListingReason(rule=rule, detail=detail, gateways=gateways)


def listed_by_shares(placement: Placement) -> list[ListedGateway]:
    """Return the gateways that get a share of callers."""
    weights = placement.shares.weights
    total = sum(weights.values())
    return [
        ListedGateway(
            address=each.address,
            failure_domain=each.failure_domain,
            part=weights[each.address] / total,
        )
        for each in placement.gateways
        if weights[each.address] > 0
    ]


def listed_evenly(gateways: list[ServingGateway]) -> list[ListedGateway]:
    """Return gateways that all get the same part of callers."""
    return [
        ListedGateway(
            address=each.address,
            failure_domain=each.failure_domain,
            part=1 / len(gateways),
        )
        for each in gateways
    ]


def listed_by_groups(groups: list[AddressGroup]) -> list[ListedGateway]:
    """Return the known gateways of failure domains, each with an even part.

    Example::

        >>> groups = [AddressGroup(addresses=["a", "b"], serving=2)]
        >>> [each.part for each in listed_by_groups(groups)]
        [0.5, 0.5]
    """
    total = sum(group.serving for group in groups)
    return [
        ListedGateway(
            address=address,
            failure_domain=group.failure_domain,
            part=group.serving / total / len(group.addresses),
        )
        for group in groups
        if group.serving
        for address in group.addresses
    ]
