"""Reads JSON lists whose items many parties write, so that one costs itself alone.

An item may hold any bytes: text in another encoding, control characters, half of a
number, an open quote.  The bytes between two items that can be read are then an item
that can't.
"""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from baobabturn.core.boundedjson import bounded_int, load_bounded

# A text with one half of a character, which no message can hold, is written so.
SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
NEXT_OBJECT = re.compile(r",\s*(?=\{)")
SPACE = re.compile(r"\s*")
# Accepts control characters in texts, to find where a value ends.
TOLERANT = json.JSONDecoder(strict=False, parse_int=bounded_int)
VALUE_ERRORS = (ValueError, RecursionError)

log = logging.getLogger("baobabturn.jsonlist")


@attrs.frozen
class UnreadableItem:
    """The bytes of an item that can't be read."""

    data: bytes

    def find_object(self, key: str) -> Any:
        """Return the first object under a key, None if that can't be read either."""
        text = self.data.decode("latin-1")
        match = re.search(rf'"{re.escape(key)}"\s*:\s*(?=\{{)', text)
        if match is None:
            return None
        try:
            _, end = TOLERANT.raw_decode(text, match.end())
            return load_text(self.data[match.end() : end])
        except VALUE_ERRORS:
            return None


def load_list(data: bytes, key: str, is_item: Callable[[Any], bool]) -> Any:
    """Return the JSON object in some bytes, whose list under ``key`` many write.

    Items are objects for which ``is_item`` is true; an ``UnreadableItem`` replaces each
    that can't be read.  Raise ``ValueError`` if the rest of the object isn't JSON.

    Example::

        >>> load_list(b'{"items": [{"a": "\\xff"}, {"a": 1}]}', "items", bool)
        {'items': [UnreadableItem(data=b'{"a": "\\xff"}'), {'a': 1}]}
    """
    if SURROGATE.search(data) is None:
        try:
            return load_bounded(data)
        except VALUE_ERRORS as error:
            log.info("event=list-read-by-item key=%s error=%r", key, error)
    return ListReader(data, key, is_item).load()


def load_text(data: bytes) -> Any:
    """Return a JSON value; raise ``ValueError`` for one with text that isn't UTF-8."""
    data.decode()
    value = load_bounded(data)
    if SURROGATE.search(data) is not None:
        json.dumps(value, ensure_ascii=False).encode()
    return value


class ListReader:
    """Reads one list item by item.

    ``text`` has a character for each byte, so that positions are the same in both.
    """

    def __init__(self, data: bytes, key: str, is_item: Callable[[Any], bool]):
        self.data = data
        self.key = key
        self.is_item = is_item
        self.text = data.decode("latin-1")

    def load(self) -> dict[str, Any]:
        """Return the whole object."""
        match = re.search(rf'"{re.escape(self.key)}"\s*:\s*\[', self.text)
        if match is None:
            raise ValueError(f"no list {self.key!r}")
        position = self.skip_space(match.end())
        items = []
        tail = self.tail(position)
        while tail is None:
            end = self.item_end(position)
            items.append(self.item(position, end))
            tail = self.tail(end)
            position = self.skip_space(end + 1)
        return {**self.head(match.start()), **tail, self.key: items}

    def skip_space(self, position: int) -> int:
        """Return the next position that holds no white space."""
        match = SPACE.match(self.text, position)
        return match.end() if match is not None else position

    def head(self, end: int) -> dict[str, Any]:
        """Return the fields before the list."""
        fields = self.data[:end].rstrip().removesuffix(b",")
        return load_bounded(fields + b"}")

    def tail(self, position: int) -> dict[str, Any] | None:
        """Return the fields after the list, None if it doesn't end at a position."""
        if not self.text.startswith("]", position):
            return None
        fields = self.data[position + 1 :].lstrip().removeprefix(b",")
        try:
            value = load_bounded(b"{" + fields)
        except VALUE_ERRORS:
            return None
        return value if isinstance(value, dict) else None

    def item(self, start: int, end: int) -> Any:
        """Return the item between two positions."""
        data = self.data[start:end].rstrip()
        try:
            value = load_text(data)
        except VALUE_ERRORS:
            return UnreadableItem(data)
        return value if self.is_item(value) else UnreadableItem(data)

    def item_end(self, start: int) -> int:
        """Return where an item ends: at a comma between items, or at the list's end.

        One whose bytes don't show that ends before the next item that can be read.
        """
        end = self.value_end(start)
        if end is not None:
            return end
        for position in self.candidates(start):
            following = self.skip_space(position + 1)
            if self.value_end(following) is not None:
                return position
        return self.list_end(start)

    def value_end(self, start: int) -> int | None:
        """Return where an item ends if it is JSON up to there, and None if it isn't."""
        try:
            value, end = TOLERANT.raw_decode(self.text, start)
        except VALUE_ERRORS:
            return None
        end = self.skip_space(end)
        is_followed = self.text.startswith(",", end) or self.tail(end) is not None
        return end if is_followed and self.is_item(value) else None

    def candidates(self, start: int) -> Iterator[int]:
        """Return the positions of commas after which an item may begin."""
        return (match.start() for match in NEXT_OBJECT.finditer(self.text, start))

    def list_end(self, start: int) -> int:
        """Return where the list ends; raise ``ValueError`` if that can't be found."""
        position = self.text.rfind("]", start)
        while position >= 0:
            if self.tail(position) is not None:
                return position
            position = self.text.rfind("]", start, position)
        raise ValueError(f"the list {self.key!r} has no end")
