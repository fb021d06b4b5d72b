"""Fills in the deploy file's settings template as the platform does."""

from __future__ import annotations

import json
import re
from typing import Any

PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")


def lookup(fields: Any, path: str) -> Any:
    """Return the value at a dotted path of nested tables and lists."""
    for part in path.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return fields


def render(template: str, fields: dict[str, Any]) -> str:
    """Return a template with its placeholders replaced by the platform's fields."""

    def replace(match: re.Match[str]) -> str:
        value = lookup(fields, match[1])
        return json.dumps(value) if match[2] else str(value)

    return PLACEHOLDER.sub(replace, template)
