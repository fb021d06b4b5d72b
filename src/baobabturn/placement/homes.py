"""Decides which regions may run a request, by the home regions of its route.

Home regions are a set of regions, or ``ANY_REGION``.  An empty set means that no region
may run the request: its home regions can't be read, or have nothing in common.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

Homes = frozenset[str] | None

ANY_REGION: Homes = None


def combined_homes(first: Homes, second: Homes) -> Homes:
    """Return the regions that both of two home regions allow.

    Example::

        >>> combined_homes(frozenset({"north", "south"}), frozenset({"north"}))
        frozenset({'north'})
        >>> combined_homes(ANY_REGION, frozenset({"north"}))
        frozenset({'north'})
    """
    if first is None:
        return second
    if second is None:
        return first
    return first & second


@attrs.frozen(kw_only=True)
class DomainRegions:
    """The region of each known failure domain.

    Example::

        >>> regions = DomainRegions(by_domain={"zone-a": "north", "zone-b": "south"})
        >>> regions.allows(frozenset({"north"}), "zone-a")
        True
        >>> regions.allows(frozenset({"north"}), "unknown")
        False
    """

    by_domain: Mapping[str, str]

    def region_of(self, failure_domain: str) -> str:
        """Return a failure domain's region, empty if it isn't known."""
        return self.by_domain.get(failure_domain, "")

    def is_known(self, region: str) -> bool:
        """Return whether any failure domain is in a region."""
        return bool(region) and region in self.by_domain.values()

    def allows(self, homes: Homes, failure_domain: str) -> bool:
        """Return whether a request may go to a failure domain."""
        if homes is None:
            return True
        region = self.region_of(failure_domain)
        return bool(region) and region in homes

    def domains_of(self, homes: Homes) -> list[str]:
        """Return the known failure domains in some home regions."""
        return sorted(each for each in self.by_domain if self.allows(homes, each))

    def may_run(self, homes: Homes) -> bool:
        """Return whether any known failure domain may run a request."""
        return homes is None or bool(self.domains_of(homes))
