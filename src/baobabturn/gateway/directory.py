"""Chooses the addresses that callers are told to use."""

from __future__ import annotations

import enum
import math
import random
from collections import Counter
from collections.abc import Callable

import attrs

from baobabturn.core.events import Event
from baobabturn.gateway.domainloads import DomainLoads
from baobabturn.gateway.peers import Peers
from baobabturn.gateway.platforminterface import CallerPlace
from baobabturn.gateway.routes import RouteTable
from baobabturn.placement.callershares import (
    OWN,
    CallerShares,
    ServingGateway,
    caller_shares,
    in_callers_reach,
    sample_weighted,
)
from baobabturn.placement.homes import DomainRegions, Homes

# Callers use no more addresses of one answer than these.
MAX_ADDRESSES = 64
# Callers of smaller fleets are told of all gateways.
MAX_WHOLE_FLEET_SIZE = 16
# The reason for which callers of a failure domain are sent elsewhere is logged when it
# changes, and once in this time at most.
LOG_INTERVAL_S = 10.0
ANYWHERE = CallerPlace()


class ListingRule(str, enum.Enum):
    """How gateways are chosen for a caller."""

    LARGE_FLEET = "large-fleet"
    NO_REGIONS = "no-regions"
    SHARES = "shares"
    REACH = "reach"
    WHOLE_FLEET = "whole-fleet"


@attrs.frozen(kw_only=True)
class Placement:
    """The gateways in a caller's reach, and their shares of such callers.

    ``failure_domain`` is the caller's, empty if it isn't known in its ``region``.
    """

    gateways: list[ServingGateway]
    failure_domain: str
    region: str
    shares: CallerShares


@attrs.frozen(kw_only=True)
class AddressGroup:
    """Addresses for callers, a sample of ``serving`` gateways in a failure domain."""

    addresses: list[str]
    serving: int
    failure_domain: str = ""


class Directory:
    """Lists gateways that are serving, by the place of the caller.

    Those of a fleet whose gateways all know each other are listed by
    ``placement.callershares``, if it has more than ``MAX_WHOLE_FLEET_SIZE`` gateways
    and the caller states its failure domain.  Otherwise gateways of each failure domain
    are listed by their number.  ``logged`` holds for failure domains of callers the
    reason that was logged last, and when.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        domain_loads: DomainLoads,
        regions: DomainRegions,
        table: Callable[[], RouteTable | None],
    ):
        self.peers = peers
        self.domain_loads = domain_loads
        self.regions = regions
        self.table = table
        self.random = random.Random()
        self.logged: dict[str, tuple[str, float]] = {}
        self.listings: dict[ListingRule, Callable[[CallerPlace, Homes], list[str]]] = {
            ListingRule.LARGE_FLEET: self.sample_domains,
            ListingRule.NO_REGIONS: self.sample_domains,
            ListingRule.SHARES: self.place,
            ListingRule.REACH: self.sample_reach,
            ListingRule.WHOLE_FLEET: self.sample_domains,
        }

    def addresses(self, caller: CallerPlace = ANYWHERE) -> list[str]:
        """Return the addresses that a caller should use, in random order.

        If no gateway is known to be serving, return some of all known gateways.
        """
        rule, homes = self.rule(caller)
        return self.listings[rule](caller, homes) or self.known_addresses()

    def rule(self, caller: CallerPlace) -> tuple[ListingRule, Homes]:
        """Return how gateways are chosen for a caller, and the home regions for it."""
        homes = self.homes_of(caller.host)
        if self.peers.table.is_large_fleet():
            return ListingRule.LARGE_FLEET, homes
        if not self.regions.by_domain:
            return ListingRule.NO_REGIONS, None
        if caller.failure_domain and self.is_placing_fleet():
            return ListingRule.SHARES, homes
        if homes is not None:
            return ListingRule.REACH, homes
        return ListingRule.WHOLE_FLEET, None

    def homes_of(self, host: str) -> Homes:
        """Return the home regions of a host's routes."""
        table = self.table()
        return table.homes_of_host(host) if table is not None else None

    def is_placing_fleet(self) -> bool:
        """Return whether the fleet is large enough to list only some gateways."""
        return self.peers.gateway_count() > MAX_WHOLE_FLEET_SIZE

    def region_of(self, caller: CallerPlace, homes: Homes) -> str:
        """Return a caller's region; this gateway's for one whose region isn't known.

        A caller of a host with home regions has no region then: any but a home region
        may be the wrong one.
        """
        region = caller.region or self.regions.region_of(caller.failure_domain)
        if self.regions.is_known(region):
            return region
        own = self.peers.record.failure_domain
        return self.regions.region_of(own) if homes is None else ""

    def place(self, caller: CallerPlace, homes: Homes) -> list[str]:
        """Return addresses by the caller's failure domain."""
        placement = self.placement(caller, homes)
        shares, domain = placement.shares, placement.failure_domain
        listed = sample_weighted(shares.weights, limit=MAX_ADDRESSES, rng=self.random)
        domains = {each.address: each.failure_domain for each in placement.gateways}
        self.record([domains[each] for each in listed], domain, placement.region)
        if domain:
            self.log_reason(domain, shares.reason)
        return listed

    def placement(self, caller: CallerPlace, homes: Homes) -> Placement:
        """Return how callers of a place are shared among the gateways."""
        region = self.region_of(caller, homes)
        gateways = in_callers_reach(self.serving(), region=region, homes=homes or ())
        domain = caller.failure_domain
        if not region or self.regions.region_of(domain) != region:
            # Nothing is known of this failure domain in the caller's region.  Callers
            # may state any name, so unknown ones aren't logged or kept.
            domain = ""
        return Placement(
            gateways=gateways,
            failure_domain=domain,
            region=region,
            shares=caller_shares(gateways, domain),
        )

    def in_reach(self, caller: CallerPlace, homes: Homes) -> list[ServingGateway]:
        """Return all gateways in the caller's region or a home region."""
        region = self.region_of(caller, homes)
        return in_callers_reach(self.serving(), region=region, homes=homes or ())

    def sample_reach(self, caller: CallerPlace, homes: Homes) -> list[str]:
        """Return addresses of all gateways in the caller's region or a home region."""
        addresses = [each.address for each in self.in_reach(caller, homes)]
        return self.random.sample(addresses, min(len(addresses), MAX_ADDRESSES))

    def sample_domains(self, caller: CallerPlace, homes: Homes) -> list[str]:
        """Return addresses of each failure domain by its number of gateways."""
        return sample_groups(self.groups(caller, homes), MAX_ADDRESSES)

    def groups(self, caller: CallerPlace, homes: Homes) -> list[AddressGroup]:
        """Return the addresses of each failure domain that a caller may be sent to."""
        near = self.domain_loads.near_callers()
        own_domain = self.peers.record.failure_domain
        groups = [
            AddressGroup(addresses=near, serving=len(near), failure_domain=own_domain)
        ]
        groups += [
            AddressGroup(
                addresses=load.callers,
                serving=load.serving,
                failure_domain=load.failure_domain,
            )
            for load in self.domain_loads.far_loads()
        ]
        if homes is not None:
            groups = self.groups_in_reach(groups, self.region_of(caller, homes), homes)
        return groups

    def groups_in_reach(
        self, groups: list[AddressGroup], region: str, homes: frozenset[str]
    ) -> list[AddressGroup]:
        """Return the groups of the caller's region, else of home regions, else all."""
        for allowed in (frozenset({region}), homes):
            found = [
                each
                for each in groups
                if each.serving and self.regions.allows(allowed, each.failure_domain)
            ]
            if found:
                return found
        return groups

    def serving(self) -> list[ServingGateway]:
        """Return the gateways that callers may be sent to, of a fleet that is known."""
        record, load = self.peers.record, self.peers.own_load
        gateways = [
            ServingGateway(
                address=peer.callers,
                failure_domain=peer.failure_domain,
                region=self.regions.region_of(peer.failure_domain),
                capacity=peer.capacity,
                load=peer.load,
                has_paths=not peer.unreachable,
            )
            for peer in self.peers.table.near_listed()
            if peer.serving and peer.callers
        ]
        if self.peers.serving():
            own = ServingGateway(
                address=record.callers,
                failure_domain=record.failure_domain,
                region=self.regions.region_of(record.failure_domain),
                capacity=load.capacity,
                load=load.reported(),
                has_paths=not self.peers.unreachable(),
            )
            gateways.append(own)
        return gateways

    def record(self, listed: list[str], domain: str, region: str) -> None:
        """Count listed addresses, given their failure domains, by whose these are."""
        kinds = Counter(
            "own"
            if each == domain
            else "other"
            if self.regions.region_of(each) == region
            else "other-region"
            for each in listed
        )
        for kind, count in kinds.items():
            self.peers.program.metrics.count("addresses_listed", count, kind=kind)

    def log_reason(self, domain: str, reason: str) -> None:
        """Log why callers of a failure domain are sent elsewhere, if that is new."""
        now = self.peers.table.clock()
        last, logged_at = self.logged.get(domain, (OWN, -math.inf))
        if reason == last or now - logged_at < LOG_INTERVAL_S:
            return
        self.logged[domain] = (reason, now)
        self.peers.program.events.emit(
            Event.CALLERS_PLACED, failure_domain=domain, reason=reason, before=last
        )

    def known_addresses(self) -> list[str]:
        """Return the addresses of gateways that may not be serving.

        Silent ones are left out, and others that weren't heard unless none was.
        """
        table = self.peers.table
        heard = [peer.callers for peer in table.near_listed() if peer.callers]
        known = heard or [
            peer.callers
            for peer in table.peers.values()
            if peer.callers and not peer.silent and not peer.heard
        ]
        known = known or [table.record.callers]
        return random.sample(known, min(len(known), MAX_ADDRESSES))


def sample_groups(groups: list[AddressGroup], limit: int) -> list[str]:
    """Return up to ``limit`` addresses, of each group in proportion to its size.

    Example::

        >>> groups = [AddressGroup(addresses=["a", "b"], serving=2)]
        >>> sorted(sample_groups(groups, 64))
        ['a', 'b']
    """
    total = sum(group.serving for group in groups)
    if not total:
        return []
    chosen: list[str] = []
    for group in groups:
        share = math.ceil(min(1.0, limit / total) * group.serving)
        chosen += random.sample(group.addresses, min(len(group.addresses), share))
    random.shuffle(chosen)
    return chosen[:limit]
