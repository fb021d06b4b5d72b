"""Shows the system at work against embedded fakes: ``make demo``.

Every statement that is printed as holding has been checked; one that doesn't
hold is printed as wrong and the exit code is 1.
"""

from __future__ import annotations

import http.client
import json
import signal
import sys
import time
import urllib.parse
import urllib.request
from collections.abc import Iterator
from typing import Any

from dev.deployments import HERD
from dev.fleet import Fleet

TIMEOUT_S = 20.0
POLL_S = 0.05
SUMMARY_TOKENS = 120
DRAINED_TOKENS = 300
TALLY = "calf-17"
OVERRIDES = {"entry": {"address_lifetime_s": 1}}


class Demo:
    """One run of the demo: what it does, says and found wrong."""

    def __init__(self, *, fleet: Fleet):
        self.fleet = fleet
        self.started = time.monotonic()
        self.wrong: list[str] = []

    def say(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        print(f"{time.monotonic() - self.started:6.2f} s  {text}", flush=True)

    def expect(self, holds: bool, text: str) -> None:
        """Print whether a statement holds and remember one that doesn't."""
        self.say(f"{'ok   ' if holds else 'WRONG'} {text}")
        if not holds:
            self.wrong.append(text)

    def run(self) -> int:
        """Show everything and return the exit code."""
        self.say(f"{len(self.fleet.processes)} processes run, {self.entry_count()}")
        self.summary()
        self.tally()
        request = self.drain()
        self.time_line(request)
        self.leftovers()
        self.say(f"{len(self.wrong)} statements were wrong")
        return 1 if self.wrong else 0

    def entry_count(self) -> str:
        """Return how many entries a caller is told of."""
        return f"callers may use {len(self.addresses(0))} entries"

    def addresses(self, number: int) -> list[str]:
        """Return the hosts that an entry tells callers to use."""
        with urllib.request.urlopen(self.fleet.entry(number) + "/v1/entries") as answer:
            return [line["host"] for line in json.loads(answer.read())["entries"]]

    def summary(self) -> None:
        """Stream a season summary."""
        prompt = f"Summarise the season. [tag=summary length={SUMMARY_TOKENS}]"
        stream = TokenStream(url=self.fleet.entry(0), key="key-herders-north")
        stream.open(prompt)
        indexes = list(stream.indexes())
        whole = stream.finished and indexes == list(range(SUMMARY_TOKENS))
        self.expect(whole, f"a season summary of {len(indexes)} tokens came in order")

    def tally(self) -> None:
        """Post a tally correction twice with one key, at two entries."""
        answers = [self.post_tally(number) for number in (0, 1)]
        for number, answer in enumerate(answers):
            self.say(f"      tally correction at entry {number}: {answer}")
        self.expect(answers[0] == answers[1], "both posts got the same answer")
        workers = [e["name"] for e in self.fleet.endpoints if e["kind"] == "service"]
        ran = sum(self.fleet.counts(name)["ran"].get(TALLY, 0) for name in workers)
        self.expect(ran == 1, f"the tally correction ran {ran} time(s)")

    def post_tally(self, number: int) -> str:
        """Return the answer of an entry to the tally correction."""
        request = urllib.request.Request(
            self.fleet.entry(number) + "/v1/services/corral/tally",
            data=json.dumps({"tag": TALLY, "change": 1}).encode(),
            headers={
                "Authorization": "Bearer key-clerks",
                "Content-Type": "application/json",
                "Idempotency-Key": "correction-17",
            },
        )
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
            return answer.read().decode()

    def drain(self) -> str:
        """Drain and stop an entry under a stream; return the request's id."""
        number, host = 2, self.fleet.hosts[2].name
        stream = TokenStream(url=self.fleet.entry(number), key="key-herders-south")
        stream.open(f"Summarise both seasons. [tag=long length={DRAINED_TOKENS}]")
        tokens = stream.indexes()
        indexes = [next(tokens)]
        self.say(f"      a summary streams from {host}, which is drained now")
        settings = self.fleet.settings_path(host)
        self.fleet.command("drain", self.fleet.entry(number), "--settings", settings)
        left_out = self.wait_left_out(host)
        self.expect(left_out, f"the address answers leave {host} out")
        entry = self.fleet.processes[f"entry@{host}"]
        entry.send_signal(signal.SIGTERM)
        indexes.extend(tokens)
        whole = stream.finished and indexes == list(range(DRAINED_TOKENS))
        self.expect(whole, f"the stream was whole: {len(indexes)} tokens in order")
        code = entry.wait(TIMEOUT_S)
        self.expect(code == 0, f"{host}'s entry ended after it, exit code {code}")
        return stream.request

    def wait_left_out(self, host: str) -> bool:
        """Return whether an entry soon leaves a host out of its answers."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            if host not in self.addresses(0):
                return True
            time.sleep(POLL_S)
        return False

    def time_line(self, request: str) -> None:
        """Print the time line of a request, merged from all processes' logs."""
        settings = self.fleet.settings_path(self.fleet.hosts[0].name)
        logs = [str(path) for path in sorted(self.fleet.folder.glob("*@*.log"))]
        text = self.fleet.command(
            "timeline", *logs, "--request", request, "--settings", settings
        )
        self.say(f"      the time line of request {request}:")
        print("".join(f"          {line}\n" for line in text.splitlines()), end="")
        self.expect("request-finished" in text, "the time line shows it finished")

    def leftovers(self) -> None:
        """Check that no engine holds a generation."""
        engines = [e["name"] for e in self.fleet.endpoints if e["kind"] == "engine"]
        held = [name for each in engines for name in self.fleet.counts(each)["open"]]
        self.expect(not held, f"the engines hold {len(held)} open generations")


class TokenStream:
    """A streamed generation as a caller reads it."""

    def __init__(self, *, url: str, key: str):
        self.url = url
        self.key = key
        self.answer: Any = None
        self.request = ""
        self.finished = False

    def open(self, prompt: str) -> None:
        """Send the request and wait for the answer's head."""
        place = urllib.parse.urlsplit(self.url)
        connection = http.client.HTTPConnection(place.netloc, timeout=TIMEOUT_S)
        body = {"model": "rumia", "prompt": prompt, "stream": True}
        headers = {"Authorization": f"Bearer {self.key}"}
        connection.request("POST", "/v1/completions", json.dumps(body), headers)
        self.answer = connection.getresponse()
        self.request = self.answer.getheader("x-request-id", "")

    def indexes(self) -> Iterator[int]:
        """Yield the index that each token of the fake engine carries."""
        for raw in self.answer:
            name, _, data = raw.decode().strip().partition(": ")
            if name != "data" or data == "[DONE]":
                continue
            choices = json.loads(data).get("choices") or [{}]
            if choices[0].get("finish_reason"):
                self.finished = True
            elif choices[0].get("text"):
                yield int(choices[0]["text"].rpartition(":")[2])


def main() -> int:
    """Run the demo and return its exit code."""
    print("starting 3 entry hosts, 2 engines, 2 service workers and a platform")
    with Fleet(
        deployment=HERD, hosts=3, engines=2, workers=2, overrides=OVERRIDES
    ) as fleet:
        return Demo(fleet=fleet).run()


if __name__ == "__main__":
    sys.exit(main())
