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
from baobabturn.commands.progress import with_progress
from baobabturn.config.declared import Document
from baobabturn.config.differ import differences
from baobabturn.config.parts import Manifest
from baobabturn.config.publish import Published, current, publish
from baobabturn.core.results import Code, Failure
from baobabturn.membership.owners import DEAD
from baobabturn.settings.model import Settings
from baobabturn.store.httpstore import HttpStore

POLL_S = 0.2
PUBLISHING = "waiting for the platform to take the configuration"


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
        An entry's URL to watch the progress at; that of the settings' host if left out.
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
    publishing = with_progress(put(loaded, document, base), lambda: PUBLISHING)
    manifest = asyncio.run(publishing)
    in_force: dict[str, float] = {}
    if wait:
        watch = Watch(
            entry=entry or f"http://{loaded.host.address}:{loaded.ports.entry}",
            key=loaded.entry.admin_key,
            revision=manifest.revision,
        )
        in_force = asyncio.run(with_progress(watch.run(wait_s), watch.text))
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
            raise CommandError(conflict(found, document, "differs from this file by"))
        limit = settings.platform.value_limit_bytes
        result = await publish(store, document, found, getpass.getuser(), limit)
        if isinstance(result, Failure) and result.code is Code.CONFIG_CONFLICT:
            newer = await current(store)
            if not isinstance(newer, Failure):
                result = conflict(newer, found.document, "changed")
    finally:
        await store.close()
    if isinstance(result, Failure):
        raise CommandError(result)
    return result


def conflict(newer: Published, document: Document, verb: str) -> Failure:
    """Return the conflict that shows what the other operator changed."""
    lines = [each.line() for each in differences(document, newer.document)]
    who = f"revision {newer.manifest.revision} by {newer.manifest.author}"
    shown = "; ".join(lines) or "nothing"
    return Failure(Code.CONFIG_CONFLICT, f"{who} came first and {verb}: {shown}")


class Watch:
    """Follows at an entry in which failure domains a revision is in force."""

    def __init__(self, *, entry: str, key: str, revision: int):
        self.entry = entry
        self.key = key
        self.revision = revision
        self.domains: dict[str, bool] = {}
        self.done: dict[str, float] = {}

    def text(self) -> str:
        """Return the progress for people, failure domain by failure domain."""
        parts = [
            f"{domain} {'in force' if here else 'not yet'}"
            for domain, here in sorted(self.domains.items())
        ]
        where = ", ".join(parts) or f"no answer of {self.entry} yet"
        return f"revision {self.revision}: {where}"

    async def look(self) -> None:
        """Read which failure domains have the revision in force on every host.

        An entry that doesn't answer now may do so later.
        """
        try:
            status = await ask_entry(self.entry, "/admin/status", self.key)
        except CommandError as error:
            if error.failure.code is not Code.LINK_LOST:
                raise
            self.domains = dict.fromkeys(self.domains, False)
            return
        held: dict[str, list[bool]] = {domain: [] for domain in self.domains}
        for member in status["members"]:
            hosts = held.setdefault(member["failure_domain"], [])
            if member["state"] != DEAD:
                hosts.append(member["revision"] >= self.revision)
        # A failure domain with dead hosts alone may still serve callers.
        self.domains = {
            domain: bool(hosts) and all(hosts) for domain, hosts in held.items()
        }

    async def run(self, limit_s: float) -> dict[str, float]:
        """Return the seconds after which each failure domain had it in force."""
        began = time.monotonic()
        while True:
            await self.look()
            now = time.monotonic() - began
            for domain, here in self.domains.items():
                if here:
                    self.done.setdefault(domain, round(now, 3))
            if self.domains and all(self.domains.values()):
                return self.done
            if now > limit_s:
                raise CommandError(self.late(limit_s))
            await asyncio.sleep(POLL_S)

    def late(self, limit_s: float) -> Failure:
        """Return the failure that says where the revision isn't in force."""
        late = sorted(name for name, here in self.domains.items() if not here)
        where = f"in {', '.join(late)}" if late else f"as far as {self.entry} says"
        reason = f"not in force within {limit_s:g} s {where}"
        applied = f"revision {self.revision} is applied, but "
        return Failure(Code.LINK_TIMEOUT, applied + reason)
