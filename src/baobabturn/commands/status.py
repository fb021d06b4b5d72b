"""``baobabturn status``: shows hosts, pools and endpoints of the system."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import urlsplit

from baobabturn.commands.common import (
    CommandError,
    ask_entry,
    print_json,
    print_table,
    read_settings,
)
from baobabturn.commands.progress import with_progress

HOST_COLUMNS = ("host", "failure_domain", "region", "state", "revision", "address")
POOL_COLUMNS = ("pool", "owner", "settled", "waiting")
ENDPOINT_COLUMNS = (
    "endpoint",
    "state",
    "in_flight",
    "used_tokens",
    "memory_tokens",
    "reported_running",
    "reported_waiting",
    "preemptions",
)


def run(
    entry: str,
    *,
    pools: bool = False,
    settings: str | None = None,
    set: list[str] | None = None,
    json: bool = False,
) -> int:
    """Show the hosts of the system.

    Parameters
    ----------
    entry:
        The URL of any entry.
    pools:
        Show the pools and endpoints too; asks every host once.
    settings:
        The settings file; its admin key is used.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print the status as JSON.
    """
    key = read_settings(settings, set).entry.admin_key
    reading = read_status(entry, key, pools)
    found = asyncio.run(with_progress(reading, lambda: f"waiting for {entry}"))
    if json:
        print_json(found)
        return 0
    rows = [[member[column] for column in HOST_COLUMNS] for member in found["members"]]
    print_table(HOST_COLUMNS, rows)
    if found["cut_off"]:
        print(f"{found['host']} is cut off from the platform and all peers")
    if pools:
        show_pools(found)
    return 0


async def read_status(entry: str, key: str, pools: bool) -> dict[str, Any]:
    """Return an entry's status, with the pools of all hosts where asked for."""
    found = await ask_entry(entry, "/admin/status", key)
    if not pools:
        return found
    scheme = urlsplit(entry).scheme
    found["pools"], found["unanswered"] = [], []
    for member in found["members"]:
        if member["state"] == "dead":
            continue
        url = f"{scheme}://{member['address']}"
        try:
            owned = await ask_entry(url, "/admin/pools", key)
        except CommandError as error:
            found["unanswered"].append(str(error.failure))
            continue
        found["pools"].extend({"owner": member["host"], **pool} for pool in owned)
    return found


def show_pools(found: dict[str, Any]) -> None:
    """Print the pools and what couldn't be asked."""
    rows = [
        [pool[column] for column in POOL_COLUMNS]
        + [endpoint[column] for column in ENDPOINT_COLUMNS]
        for pool in found["pools"]
        for endpoint in pool["endpoints"]
    ]
    print()
    print_table((*POOL_COLUMNS, *ENDPOINT_COLUMNS), rows)
    for line in found["unanswered"]:
        print(f"no answer: {line}")
