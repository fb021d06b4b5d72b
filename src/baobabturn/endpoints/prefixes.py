"""Hashes of a prompt's leading blocks, equal to those in engines' cache events.

A block is 256 bytes of UTF-8 text.  Its XXH64 hash is seeded with the hash of the
block before, the first one's with that of the salt, so that prompts with an equal
beginning under one salt have equal hashes.  The salt is the workspace's name.
"""

from __future__ import annotations

from typing import Any

import xxhash

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
BYTES_PER_TOKEN = 4
MAX_BLOCK_COUNT = 64


def prefix_hashes(salt: str, text: str) -> list[int]:
    """Return the chained hashes of a prompt's complete leading blocks."""
    data = text.encode("utf-8", "replace")
    chain = xxhash.xxh64_intdigest(salt.encode())
    count = min(len(data) // BLOCK_BYTES, MAX_BLOCK_COUNT)
    hashes = []
    for number in range(count):
        block = data[number * BLOCK_BYTES : (number + 1) * BLOCK_BYTES]
        chain = xxhash.xxh64_intdigest(block, seed=chain)
        hashes.append(chain)
    return hashes


def chat_text(messages: list[Any]) -> str:
    """Return the prompt text of a chat's messages.

    Images and other parts without text are left out.
    """
    lines = []
    for message in messages:
        content = message.get("content") or ""
        if isinstance(content, list):
            content = "".join(str(part.get("text", "")) for part in content)
        lines.append(f"{message.get('role')}: {content}")
    return "\n".join(lines)


def estimate_tokens(text: str) -> int:
    """Return an estimate of the number of tokens in a text, at least 1."""
    return max(1, len(text) // BYTES_PER_TOKEN)
