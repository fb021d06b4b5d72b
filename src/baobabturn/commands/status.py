"""``baobabturn status``: shows the hosts of the system as one of them sees them."""

from __future__ import annotations

import asyncio

from baobabturn.commands.common import (
    ask_entry,
    print_json,
    print_table,
    read_settings,
)

COLUMNS = ("host", "failure_domain", "region", "state", "revision", "address")


def run(
    entry: str,
    *,
    settings: str | None = None,
    set: list[str] | None = None,
    json: bool = False,
) -> int:
    """Show the hosts of the system.

    Parameters
    ----------
    entry:
        The URL of any entry.
    settings:
        The settings file; its admin key is used.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print the status as JSON.
    """
    key = read_settings(settings, set).entry.admin_key
    found = asyncio.run(ask_entry(entry, "/admin/status", key))
    if json:
        print_json(found)
        return 0
    rows = [[member[column] for column in COLUMNS] for member in found["members"]]
    print_table(COLUMNS, rows)
    return 0
