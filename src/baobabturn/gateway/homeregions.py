"""Refuses requests whose home regions no known failure domain is in."""

from __future__ import annotations

from baobabturn.core.events import Event
from baobabturn.core.program import Program
from baobabturn.core.results import Code, Failure
from baobabturn.gateway.retrytimes import spread_retry_s
from baobabturn.gateway.routes import RouteTable
from baobabturn.placement.homes import DomainRegions, Homes

RETRY_AFTER_S = 1.0


class HomeRegions:
    """The regions of failure domains, and the requests that none of them may run."""

    def __init__(self, *, program: Program):
        self.program = program
        self.regions = DomainRegions(by_domain=program.settings.host.regions)

    def refusal(self, homes: Homes) -> Failure | None:
        """Return the refusal of a request that no region may run, None for others."""
        if self.regions.may_run(homes):
            return None
        return Failure(
            Code.NO_HOME_REGION,
            describe_homes(homes),
            retry_after_s=spread_retry_s(RETRY_AFTER_S),
        )

    def log_unusable(self, table: RouteTable) -> None:
        """Log the routes and workspaces of a configuration that no region may run."""
        by_name = {f"route {each.name}": each.homes for each in table.routes.values()}
        for holder in table.key_holders.values():
            by_name[f"workspace {holder.workspace}"] = holder.homes
        for name, homes in by_name.items():
            if not self.regions.may_run(homes):
                self.program.events.emit(
                    Event.HOMES_UNUSABLE,
                    subject=name,
                    revision=table.version,
                    reason=describe_homes(homes),
                )


def describe_homes(homes: Homes) -> str:
    """Return home regions as text for logs and refusals."""
    if not homes:
        return "there is no readable home region that all allow"
    return f"no failure domain is known in {', '.join(sorted(homes))}"
