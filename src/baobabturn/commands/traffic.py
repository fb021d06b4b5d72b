"""``baobabturn traffic``: shows where requests and callers are sent by a gateway."""

from __future__ import annotations

import asyncio
import urllib.parse
from typing import Any

from baobabturn.commands.common import CommandError, ask, print_json, print_table
from baobabturn.commands.progress import with_progress
from baobabturn.core.results import Code, Failure
from baobabturn.settings.load import EXIT_USAGE
from baobabturn.wire.words import STATE_PATH

# The sections of the state that are printed as tables, with what an empty one says.
SECTIONS = {
    "closed_domains": (
        (
            *("failure_domain", "closed_s", "held", "endpoints"),
            *("generations", "requests"),
        ),
        "no failure domain is closed",
    ),
    "closed_endpoints": (
        ("endpoint", "service", "failure_domain", "generations", "requests"),
        "nothing runs in closed failure domains",
    ),
    "cold_endpoints": (
        (
            *("endpoint", "service", "failure_domain", "cold_s", "left_s", "per_s"),
            *("known", "next_s", "waiting"),
        ),
        "no endpoint is cold",
    ),
    "queues": (("service", "waiting"), "no request waits for an engine"),
}
CALLER_COLUMNS = ("address", "failure_domain", "percent")
RULES = {
    "large-fleet": "each failure domain by its number of gateways (large fleet)",
    "no-regions": "all gateways: host.regions is empty",
    "whole-fleet": "all gateways: a small fleet, or no failure domain is stated",
    "reach": "all gateways of the callers' region, else of the home regions",
    "shares": "by failure domain, capacity and load",
}
DETAILS = {
    "own": "all stay in their failure domain",
    "crowded": "the gateways of their failure domain are crowded, so some go elsewhere",
    "few": "their failure domain has too little capacity, so some go elsewhere",
    "none": "no gateway of their failure domain is serving in their region",
}


def run(
    gateway: str,
    *,
    callers: str = "",
    region: str = "",
    host: str = "",
    json: bool = False,
) -> int:
    """Show a gateway's closed failure domains, cold endpoints and caller placement.

    Parameters
    ----------
    gateway:
        The URL of a gateway's metrics address.
    callers:
        Show to which gateways callers of this failure domain are sent, and why.
    region:
        The region that these callers state.
    host:
        The host that these callers ask for, for the home regions of its routes.
    json:
        Print the state as JSON.
    """
    if (region or host) and not callers:
        failure = Failure(Code.BAD_FIELD, "--region and --host need --callers")
        raise CommandError(failure, EXIT_USAGE)
    place = {"failure_domain": callers, "region": region, "host": host}
    query = urllib.parse.urlencode({name: text for name, text in place.items() if text})
    asking = ask(gateway, f"{STATE_PATH}?{query}", "gateway", {})
    found = asyncio.run(with_progress(asking, lambda: f"waiting for {gateway}"))
    if not isinstance(found, dict) or not SECTIONS.keys() <= found.keys():
        reason = f"{gateway}: not the metrics address of a gateway of this release"
        raise CommandError(Failure(Code.LINK_REFUSED, reason))
    if json:
        print_json(found)
    else:
        show(found)
    return 0


def show(found: dict[str, Any]) -> None:
    """Print a gateway's state as tables."""
    serving = "serving" if found["serving"] else "not serving"
    print(f"{found['host']} in {found['failure_domain']}: {serving}")
    if not found["evacuations_enabled"]:
        print("evacuations are off: gateway.evacuate_ms is 0")
    for name, (columns, empty) in SECTIONS.items():
        print()
        show_section(found[name], columns, empty)
    if "callers" in found:
        show_callers(found["callers"])


def show_section(section: dict[str, Any], columns: tuple[str, ...], empty: str) -> None:
    """Print one list of the state, and how many of its items are left out."""
    items = section["items"]
    if not items:
        print(empty)
        return
    print_table(
        columns, [[show_cell(each[name]) for name in columns] for each in items]
    )
    if section["total"] > len(items):
        print(f"{section['total'] - len(items)} more")


def show_cell(value: Any) -> str:
    """Return a cell's text: yes and no for truth values, numbers without padding."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def show_callers(callers: dict[str, Any]) -> None:
    """Print to which gateways callers are sent, and why."""
    rule, detail = callers["rule"], callers["detail"]
    why = "; ".join([RULES.get(rule, rule), *filter(None, [DETAILS.get(detail, "")])])
    print(f"\ncallers of {callers['failure_domain']}: {why}")
    gateways = callers["gateways"]
    rows = [
        {**each, "percent": round(100 * each["part"], 2)} for each in gateways["items"]
    ]
    listed = {"total": gateways["total"], "items": rows}
    show_section(listed, CALLER_COLUMNS, "no gateway is known to be serving")
