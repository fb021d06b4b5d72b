"""``baobabturn diff``: shows what applying a configuration would change."""

from __future__ import annotations

import asyncio

import attrs

from baobabturn.commands.common import (
    CommandError,
    print_json,
    read_configuration,
    read_settings,
)
from baobabturn.commands.progress import with_progress
from baobabturn.config.declared import Document
from baobabturn.config.differ import Difference, differences
from baobabturn.config.publish import current
from baobabturn.core.results import Failure
from baobabturn.settings.model import Settings
from baobabturn.store.httpstore import HttpStore


def run(
    file: str,
    *,
    settings: str | None = None,
    set: list[str] | None = None,
    json: bool = False,
) -> int:
    """Show what applying a configuration file would change.

    Parameters
    ----------
    file:
        The file that a declaration program printed, - for standard input.
    settings:
        The settings file; its platform section is used.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print the differences as JSON.
    """
    document = read_configuration(file)
    comparing = compare(read_settings(settings, set), document)
    found = asyncio.run(with_progress(comparing, lambda: "reading the platform"))
    if json:
        print_json([attrs.asdict(each) for each in found])
    else:
        print("\n".join(each.line() for each in found) or "no differences")
    return 0


async def compare(settings: Settings, document: Document) -> list[Difference]:
    """Return the differences between what is published and a document."""
    store = HttpStore(settings=settings.platform)
    try:
        base = await current(store)
    finally:
        await store.close()
    if isinstance(base, Failure):
        raise CommandError(base)
    return differences(base.document, document)
