"""What the steps share: fleets, callers, and waiting within bounds."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from dev.deployments import DEPLOYMENTS
from dev.fleet import ADMIN_KEY, Fleet

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
        self.comments = 0

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
            self.comments += line.startswith(":")
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


def scrape(entry: str, key: str = ADMIN_KEY) -> Answer:
    """Return the metrics of an entry's host."""
    return send(entry + "/metrics", method="GET", key=key)


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


class Reader(threading.Thread):
    """Reads a stream in a thread and notes its events and how it ended."""

    def __init__(self, *, url: str, key: str, body: Any, headers: dict | None = None):
        super().__init__(daemon=True)
        self.options = {"url": url, "key": key, "body": body, "headers": headers}
        self.events: list[Event] = []
        self.status = 0
        self.text = ""
        self.stream: Stream | None = None
        self.broken = False
        self.start()

    def run(self) -> None:
        """Read until the stream ends or breaks."""
        try:
            self.stream = open_stream(**self.options)
            self.status = self.stream.status
            if self.status != 200:
                self.text = self.stream.answer.read().decode()
                return
            for event in self.stream.events():
                self.events.append(event)
        except (OSError, http.client.HTTPException, ValueError, AttributeError):
            self.broken = True

    def ended(self, limit_s: float = WAIT_S) -> list[Event]:
        """Return all events once the stream has ended."""
        self.join(limit_s)
        assert not self.is_alive(), f"open after {limit_s:g} s, {len(self.events)}"
        return list(self.events)

    def leave(self) -> None:
        """Close the connection, as a caller that goes away does."""
        assert self.stream is not None
        sock = self.stream.connection.sock or self.stream.answer.fp.raw._sock
        sock.shutdown(socket.SHUT_RDWR)
        self.join(WAIT_S)

    @property
    def tokens(self) -> list[str]:
        """Return the texts of the tokens that came since the last restart."""
        found: list[str] = []
        for event in list(self.events):
            if event.name == "restart":
                found.clear()
            elif not event.name and event.data != "[DONE]":
                found.extend([event.text] if event.text else [])
        return found

    @property
    def last_id(self) -> str:
        """Return the id of the last event that had one."""
        return next((e.id for e in reversed(list(self.events)) if e.id), "")

    @property
    def error(self) -> dict[str, Any]:
        """Return the error that ended the stream."""
        if self.status != 200:
            return json.loads(self.text)["error"]
        assert self.events and self.events[-1].name == "error", self.events[-1:]
        return self.events[-1].values["error"]

    @property
    def is_whole(self) -> bool:
        """Return whether the stream ended with a finish marker and the end mark."""
        if len(self.events) < 2 or self.events[-1].data != "[DONE]":
            return False
        choices = self.events[-2].values["choices"]
        return choices[0]["finish_reason"] is not None


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
