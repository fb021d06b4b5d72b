"""What the subcommands share: reading files, reaching the system, printing."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp

from baobabturn.config.check import check
from baobabturn.config.declared import Document
from baobabturn.config.document import read_document
from baobabturn.core.program import complain
from baobabturn.core.results import Code, Failure
from baobabturn.settings.load import EXIT_USAGE, load
from baobabturn.settings.model import Settings

EXIT_FAILED = 1
CALL_TIMEOUT_S = 5.0
ANSWER_SHOWN_BYTES = 200


class CommandError(Exception):
    """A failure that ends a command with one line."""

    def __init__(self, failure: Failure, exit_code: int = EXIT_FAILED):
        super().__init__(str(failure))
        self.failure = failure
        self.exit_code = exit_code


def read_settings(path: str | None, flags: list[str] | None) -> Settings:
    """Return the effective settings or end the command."""
    loaded = load(path, flags)
    if isinstance(loaded, Failure):
        raise CommandError(loaded, EXIT_USAGE)
    return loaded.settings


def read_configuration(path: str) -> Document:
    """Return the checked configuration in a file."""
    try:
        values = json.loads(pathlib.Path(path).read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        reason = getattr(error, "strerror", None) or f"not JSON: {error}"
        failure = Failure(Code.CONFIG_INVALID, f"{path}: {reason}")
        raise CommandError(failure, EXIT_USAGE) from None
    document = read_document(values)
    if isinstance(document, Failure):
        raise CommandError(document, EXIT_USAGE)
    failed = check(document)
    if failed is not None:
        raise CommandError(failed, EXIT_USAGE)
    return document


async def ask_entry(
    entry: str, path: str, admin_key: str, body: Any = None, method: str = "GET"
) -> Any:
    """Return the answer of an entry's operators' path, JSON decoded if it is."""
    headers = {"Authorization": f"Bearer {admin_key}"}
    return await ask(entry, path, "entry", headers, body, method)


async def ask(
    entry: str,
    path: str,
    role: str,
    headers: Mapping[str, str],
    body: Any = None,
    method: str = "GET",
) -> Any:
    """Return the answer of a process of some role, JSON decoded if it is."""
    if not entry.startswith(("http://", "https://")):
        failure = Failure(Code.BAD_FIELD, f"{role} {entry!r}: allowed is an http URL")
        raise CommandError(failure, EXIT_USAGE)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
            async with session.request(method, entry + path, json=body) as answer:
                if answer.status == 403:
                    raise CommandError(
                        Failure(Code.NOT_ALLOWED, f"{entry}: wrong admin key")
                    )
                if answer.status != 200:
                    text = (await answer.text())[:ANSWER_SHOWN_BYTES]
                    reason = f"{entry}: status {answer.status}: {text}"
                    raise CommandError(Failure(Code.LINK_REFUSED, reason))
                if answer.content_type == "application/json":
                    return await answer.json()
                return await answer.text()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        reason = f"{entry}: {str(error) or 'no answer'}"
        raise CommandError(Failure(Code.LINK_LOST, reason)) from None


def print_json(values: Any) -> None:
    """Print values as JSON."""
    print(json.dumps(values, indent=1, sort_keys=True))


def print_table(head: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print a plain table with columns as wide as they need to be."""
    lines = [[str(cell) for cell in row] for row in [head, *rows]]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


def end(error: CommandError) -> int:
    """Print a failure as one line and return the exit code."""
    complain(str(error.failure))
    return error.exit_code
