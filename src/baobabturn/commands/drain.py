"""``baobabturn drain``: takes a host out of the address answers, or puts it back."""

from __future__ import annotations

import asyncio

from baobabturn.commands.common import ask_entry, print_json, read_settings
from baobabturn.commands.progress import with_progress


def run(
    entry: str,
    *,
    off: bool = False,
    settings: str | None = None,
    set: list[str] | None = None,
    json: bool = False,
) -> int:
    """Drain a host.

    Parameters
    ----------
    entry:
        The URL of the host's entry.
    off:
        End the draining instead.
    settings:
        The settings file; its admin key is used.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print the answer as JSON.
    """
    key = read_settings(settings, set).entry.admin_key
    body = {"on": not off}
    asking = ask_entry(entry, "/admin/drain", key, body, "POST")
    found = asyncio.run(with_progress(asking, lambda: f"waiting for {entry}"))
    if json:
        print_json(found)
    else:
        print(f"{found['host']}: {'draining' if found['draining'] else 'serving'}")
    return 0
