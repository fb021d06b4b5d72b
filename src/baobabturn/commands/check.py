"""``baobabturn check``: checks a configuration without applying it."""

from __future__ import annotations

from baobabturn.commands.common import print_json, read_configuration


def run(file: str, *, json: bool = False) -> int:
    """Check a configuration file.

    Parameters
    ----------
    file:
        The file that a declaration program printed, - for standard input.
    json:
        Print the result as JSON.
    """
    document = read_configuration(file)
    counts = {
        kind: len(getattr(document, kind))
        for kind in ("workspaces", "models", "endpoints", "services")
    }
    if json:
        print_json({"valid": True, **counts})
    else:
        print(
            "valid: " + ", ".join(f"{count} {kind}" for kind, count in counts.items())
        )
    return 0
