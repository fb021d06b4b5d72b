"""``baobabturn apply``: publishes a configuration and waits until it is in force."""

from __future__ import annotations

import asyncio
import getpass
import time

from baobabturn.commands.common import (
    CommandError,
    ask_entry,
    print_json,
    read_configuration,
    read_settings,
)
from baobabturn.config.differ import differences
from baobabturn.config.document import Document
from baobabturn.config.parts import Manifest
from baobabturn.config.publish import Published, current, publish
from baobabturn.core.results import Code, Failure
from baobabturn.platform.httpstore import HttpStore
from baobabturn.settings.model import Settings

POLL_S = 0.2
PROGRESS_AFTER_S = 2.0


def run(
    file: str,
    *,
    settings: str | None = None,
    set: list[str] | None = None,
    entry: str = "",
    base: int | None = None,
    wait: bool = False,
    wait_s: float = 30.0,
    json: bool = False,
) -> int:
    """Apply a configuration file.

    Parameters
    ----------
    file:
        The file that a declaration program printed, - for standard input.
    settings:
        The settings file; its platform section is used.
    set:
        One field as section.field=value; may be repeated.
    entry:
        An entry's URL to watch the progress at, needed for --wait.
    base:
        The revision that the change was made against; another is a conflict.
    wait:
        Wait until the configuration is in force in every failure domain.
    wait_s:
        Give up waiting after this many seconds.
    json:
        Print the result as JSON.
    """
    document = read_configuration(file)
    loaded = read_settings(settings, set)
    manifest = asyncio.run(put(loaded, document, base))
    in_force: dict[str, float] = {}
    if wait:
        if not entry:
            raise CommandError(Failure(Code.BAD_FIELD, "--wait needs --entry"))
        key = loaded.entry.admin_key
        in_force = asyncio.run(wait_in_force(entry, key, manifest.revision, wait_s))
    if json:
        print_json(
            {
                "revision": manifest.revision,
                "parts": len(manifest.parts),
                "in_force_s": in_force,
            }
        )
    else:
        print(f"applied revision {manifest.revision}")
        for domain, seconds in in_force.items():
            print(f"  in force in {domain} after {seconds:.2f} s")
    return 0


async def put(settings: Settings, document: Document, base: int | None) -> Manifest:
    """Publish a document on top of what is published now."""
    store = HttpStore(settings=settings.platform)
    try:
        found = await current(store)
        if isinstance(found, Failure):
            raise CommandError(found)
        if base is not None and base != found.manifest.revision:
            raise CommandError(conflict(found, document))
        limit = settings.platform.value_limit_bytes
        result = await publish(store, document, found, getpass.getuser(), limit)
        if isinstance(result, Failure) and result.code is Code.CONFIG_CONFLICT:
            newer = await current(store)
            if not isinstance(newer, Failure):
                result = conflict(newer, found.document)
    finally:
        await store.close()
    if isinstance(result, Failure):
        raise CommandError(result)
    return result


def conflict(newer: Published, document: Document) -> Failure:
    """Return the conflict that shows what the other operator changed."""
    lines = [each.line() for each in differences(document, newer.document)]
    who = f"revision {newer.manifest.revision} by {newer.manifest.author}"
    return Failure(Code.CONFIG_CONFLICT, f"{who} came first: " + "; ".join(lines))


async def wait_in_force(
    entry: str, key: str, revision: int, limit_s: float
) -> dict[str, float]:
    """Return the seconds after which each failure domain had a revision in force."""
    began = time.monotonic()
    done: dict[str, float] = {}
    while True:
        status = await ask_entry(entry, "/admin/status", key)
        now = time.monotonic() - began
        domains: dict[str, bool] = {}
        for member in status["members"]:
            if member["state"] == "alive":
                domain = member["failure_domain"]
                here = member["revision"] >= revision
                domains[domain] = domains.get(domain, True) and here
        for domain, here in domains.items():
            if here and domain not in done:
                done[domain] = round(now, 3)
        if domains and all(domains.values()):
            return done
        if now > limit_s:
            late = sorted(domain for domain, here in domains.items() if not here)
            reason = f"not in force within {limit_s:g} s in {', '.join(late)}"
            raise CommandError(Failure(Code.LINK_TIMEOUT, reason))
        if now > PROGRESS_AFTER_S:
            print(f"waiting: {len(done)} of {len(domains)} failure domains", flush=True)
        await asyncio.sleep(POLL_S)
