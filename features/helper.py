"""What the steps share: fleets, callers, and waiting within bounds."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import subprocess
import sys
import time
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from dev.deployments import DEPLOYMENTS
from dev.fleet import Fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
WAIT_S = 30.0
POLL_S = 0.05


def start_fleet(context: Any, deployment: str, shared: bool, **options: Any) -> Fleet:
    """Start a fleet that is stopped after the scenario, or after its feature."""
    fleet = Fleet(deployment=DEPLOYMENTS[deployment], **options)
    place = context.feature if shared else context.scenario
    place.fleet = fleet
    fleet.start()
    context.fleet = fleet
    return fleet


def wait_for(check: Callable[[], Any], what: str, limit_s: float = WAIT_S) -> Any:
    """Return the first true value of a check, or fail when the limit has passed."""
    end = time.monotonic() + limit_s
    while True:
        found = check()
        if found:
            return found
        assert time.monotonic() < end, f"waited {limit_s:g} s for {what}"
        time.sleep(POLL_S)


@attrs.define(kw_only=True)
class Answer:
    """An HTTP answer, its body as text."""

    status: int
    headers: dict[str, str]
    text: str

    @property
    def body(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.text)

    @property
    def error(self) -> dict[str, Any]:
        """Return the error in the body."""
        return self.body["error"]


@attrs.define(kw_only=True)
class Event:
    """A server-sent event."""

    id: str = ""
    name: str = ""
    data: str = ""

    @property
    def values(self) -> Any:
        """Return the data decoded from JSON."""
        return json.loads(self.data)

    @property
    def text(self) -> str:
        """Return the token's text."""
        choice = self.values["choices"][0]
        return choice.get("text") or choice.get("delta", {}).get("content") or ""


class Stream:
    """An open stream of server-sent events."""

    def __init__(self, *, connection: http.client.HTTPConnection, answer: Any):
        self.connection = connection
        self.answer = answer
        self.status = answer.status
        self.last_id = ""

    def events(self) -> Iterator[Event]:
        """Yield the events until the stream ends."""
        event = Event()
        for raw in self.answer:
            line = raw.decode().rstrip("\n")
            if not line:
                if event.data:
                    self.last_id = event.id or self.last_id
                    yield event
                event = Event()
                continue
            name, _, value = line.partition(": ")
            if name in ("id", "event", "data"):
                setattr(event, "name" if name == "event" else name, value)

    def close(self) -> None:
        """Close the connection, as a caller that goes away does."""
        if self.connection.sock is not None:
            self.connection.sock.close()
        self.connection.close()
        self.answer.close()


def connect(url: str, timeout_s: float) -> tuple[http.client.HTTPConnection, str]:
    """Return a connection to a URL's host, and its path."""
    parts = urllib.parse.urlsplit(url)
    assert parts.hostname is not None
    connection = http.client.HTTPConnection(
        parts.hostname, parts.port, timeout=timeout_s
    )
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    return connection, path


def send(
    url: str,
    *,
    key: str = "",
    body: Any = None,
    method: str = "POST",
    headers: dict[str, str] | None = None,
    timeout_s: float = WAIT_S,
) -> Answer:
    """Return the answer of a call."""
    connection, path = connect(url, timeout_s)
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    sent = {"Content-Type": "application/json", **(headers or {})}
    if key:
        sent["Authorization"] = f"Bearer {key}"
    try:
        connection.request(method, path, data, sent)
        answer = connection.getresponse()
        text = answer.read().decode()
        return Answer(
            status=answer.status,
            headers={name.lower(): value for name, value in answer.getheaders()},
            text=text,
        )
    finally:
        connection.close()


def open_stream(
    url: str,
    *,
    key: str,
    body: Any,
    headers: dict[str, str] | None = None,
    timeout_s: float = WAIT_S,
) -> Stream:
    """Return an open stream of a generation."""
    connection, path = connect(url, timeout_s)
    sent = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {key}",
        **(headers or {}),
    }
    connection.request("POST", path, json.dumps(body).encode(), sent)
    return Stream(connection=connection, answer=connection.getresponse())


def token_indexes(texts: list[str], tag: str) -> list[int]:
    """Return the indexes of a generation's tokens; fails on another's token.

    A fake engine's token reads ``tag.run:index``; all must be of one run.
    """
    runs = set()
    indexes = []
    for text in texts:
        name, _, index = text.strip().partition(":")
        found, _, run = name.rpartition(".")
        assert found == tag, f"token {text!r} isn't of {tag}"
        runs.add(run)
        indexes.append(int(index))
    assert len(runs) <= 1, f"tokens of {len(runs)} generations"
    return indexes


def run_module(
    module: str, *arguments: str, stdin: str = ""
) -> subprocess.CompletedProcess[str]:
    """Run a module of the project as a process and return what it did."""
    path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        input=stdin,
        timeout=2 * WAIT_S,
    )
