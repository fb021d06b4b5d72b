"""An answer of the platform's store, as its HTTP clients decode it."""

from __future__ import annotations

from typing import Any

import attrs

from baobabturn.store.version import StoreVersion


@attrs.frozen(kw_only=True)
class StoreAnswer:
    """The status and decoded body of an answer, and the store's era."""

    status: int
    body: Any
    era: int = 0

    def version(self, revision: int) -> StoreVersion:
        """Return the version of a revision that the answer names."""
        return StoreVersion(self.era, revision)


def decode_era(text: str) -> int:
    """Return the era that a header states, 0 for none."""
    return int(text) if text.isdigit() else 0
