"""``baobabturn settings``: prints the effective settings and their sources."""

from __future__ import annotations

import json as json_codec
from typing import Any

import attrs

from baobabturn.commands.common import CommandError, print_json, print_table
from baobabturn.core.results import Failure
from baobabturn.settings.load import EXIT_USAGE, load

SECRETS = ("token", "secret", "resume_keys", "admin_key")
HIDDEN = "(hidden)"


def run(
    *,
    settings: str | None = None,
    set: list[str] | None = None,
    json: bool = False,
) -> int:
    """Print the effective settings and where each came from.

    Parameters
    ----------
    settings:
        The settings file.
    set:
        One field as section.field=value; may be repeated.
    json:
        Print as JSON.
    """
    loaded = load(settings, set)
    if isinstance(loaded, Failure):
        raise CommandError(loaded, EXIT_USAGE)
    values = flat(attrs.asdict(loaded.settings))
    if json:
        print_json(
            {
                name: {"value": value, "source": loaded.sources[name]}
                for name, value in values.items()
            }
        )
        return 0
    rows = [
        (name, json_codec.dumps(value), loaded.sources[name])
        for name, value in values.items()
    ]
    print_table(("setting", "value", "source"), rows)
    return 0


def flat(values: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return nested values by dotted name, secrets hidden."""
    found: dict[str, Any] = {}
    for name, value in values.items():
        if isinstance(value, dict):
            found.update(flat(value, f"{prefix}{name}."))
        else:
            found[prefix + name] = HIDDEN if name in SECRETS and value else value
    return found
