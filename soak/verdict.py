"""What must hold in a run of the soak, judged by what callers and endpoints saw."""

from __future__ import annotations

from collections import Counter

import attrs

from fakes.site import SIGNATURE, Request
from fakes.siteconfig import KEY, WORKSPACE
from soak.load import DEADLINE_S, PATHS, Sent
from soak.process import GRACE_S, KILL_SLACK_S
from soak.world import EVENTS, REVOKE_S, SECOND_KEY, World

PROMISES = (408, 421, 429, 503)
STREAMS = ("draft", "check")
ONCE = ("post", "draft")
# A request is judged for time where nothing has harmed its host for so long.
CALM_S = 3.0
TIME_SLACK_S = 0.5
# Retries in any window: a share of the requests and some more, for the fleet.
RETRY_RATIO, RETRY_SLACK, WINDOW_S = 0.2, 56, 10.0
MEMORY_LIMIT_BYTES = 150 * 1024 * 1024
FILES_LIMIT = 600


@attrs.frozen(kw_only=True)
class Run:
    """A request as an endpoint ran it."""

    endpoint: str
    service: str
    request: Request

    @property
    def goes_on(self) -> bool:
        """Return whether it goes on from the memory of a run before."""
        return "kv-from" in self.request.headers


class Verdict:
    """Judges a run; ``broken`` holds a line for each promise that wasn't kept."""

    def __init__(self, *, world: World, sent: list[Sent]):
        self.world = world
        self.sent = sent
        self.broken: list[str] = []
        self.runs: dict[str, list[Run]] = {}
        for name, endpoint in world.endpoints.items():
            for request in endpoint.ran:
                run = Run(endpoint=name, service=endpoint.service, request=request)
                self.runs.setdefault(request.ident, []).append(run)

    def judge(self) -> list[str]:
        """Return the promises that weren't kept."""
        known = {each.ident: each for each in self.sent}
        for ident in self.runs.keys() - known.keys():
            self.broken.append(f"{ident}: run, and nobody sent it")
        for each in self.sent:
            self.judge_runs(each, self.runs.get(each.ident, []))
            self.judge_answer(each)
            self.judge_time(each)
        self.judge_retries()
        self.judge_processes()
        return self.broken

    def fault(self, sent: Sent, text: str) -> None:
        """Note a promise that wasn't kept."""
        where = f"{sent.kind} {sent.ident} at {sent.gateway.name}"
        self.broken.append(f"{where}: {text}")

    def judge_runs(self, sent: Sent, runs: list[Run]) -> None:
        """Judge where and how often a request was run."""
        begun = [run for run in runs if not run.goes_on]
        if sent.kind in ONCE and len(begun) > 1:
            names = [run.endpoint for run in begun]
            self.fault(sent, f"run more than once: {names}")
        if sent.kind in ONCE and sent.status in PROMISES and runs:
            self.fault(sent, f"answered {sent.status} and run")
        path, method = PATHS[sent.kind]
        for run in runs:
            request = run.request
            if (request.method, request.target) != (method, path):
                self.fault(sent, f"changed to {request.method} {request.target}")
            if method == "POST" and request.body != sent.ident.encode():
                self.fault(sent, "its body was changed")
            if request.headers.get("x-tenant") != WORKSPACE:
                self.fault(sent, "run for another workspace")
            if KEY in str(request.headers) or SECOND_KEY in str(request.headers):
                self.fault(sent, "the key was passed on")
            self.judge_key(sent, run)

    def judge_key(self, sent: Sent, run: Run) -> None:
        """Judge whether a request was run whose key had gone long before."""
        gone = self.world.revoked.get(sent.key)
        if gone is not None and sent.began > gone + REVOKE_S:
            self.fault(sent, f"run {sent.began - gone:.1f} s after its key went")

    def judge_answer(self, sent: Sent) -> None:
        """Judge an answer's content."""
        reply = sent.reply
        if reply is None or reply.status != 200:
            return
        if reply.headers.get("x-response-stamp") != SIGNATURE:
            self.fault(sent, "a success that isn't signed")
        if reply.headers.get("x-attempt-id") != sent.ident:
            self.fault(sent, "another request's answer")
        if not self.runs.get(sent.ident):
            self.fault(sent, "a success that nobody ran")
        if sent.kind in STREAMS:
            ids = reply.event_ids
            if ids != list(range(1, len(ids) + 1)):
                self.fault(sent, f"events {ids[:9]}...")
            if reply.whole and len(ids) != EVENTS:
                self.fault(sent, f"ended as whole after {len(ids)} events")
        elif reply.whole and reply.body != b"done":
            self.fault(sent, f"the body {reply.body[:20]!r}")

    def is_calm(self, sent: Sent) -> bool:
        """Return whether nothing harmed a request's host or the store around it."""
        since = max(sent.gateway.calm_since, self.world.store_calm_since)
        return sent.began > since + CALM_S

    def judge_time(self, sent: Sent) -> None:
        """Judge whether an answer came in time where nothing was in its way."""
        took_s = sent.ended - sent.began
        if self.is_calm(sent) and not sent.left and took_s > DEADLINE_S + TIME_SLACK_S:
            self.fault(sent, f"took {took_s:.1f} s, {sent.problem or sent.status}")

    def judge_retries(self) -> None:
        """Judge the sends to second endpoints over every window."""
        arrivals: dict[str, list[float]] = {}
        repeats: dict[str, list[float]] = {}
        for runs in self.runs.values():
            runs.sort(key=lambda run: run.request.at)
            for place, run in enumerate(runs):
                kind = repeats if place and not run.goes_on else arrivals
                kind.setdefault(run.service, []).append(run.request.at)
        for service, times in repeats.items():
            for start in times:
                within = sum(start <= at < start + WINDOW_S for at in times)
                first = arrivals.get(service, [])
                base = sum(start - WINDOW_S <= at < start + WINDOW_S for at in first)
                if within > RETRY_RATIO * base + RETRY_SLACK:
                    self.broken.append(f"{service}: {within} repeats of {base} in 10 s")
                    break

    def judge_processes(self) -> None:
        """Judge how processes ended and what they hold."""
        for gateway in self.world.gateways:
            for each in gateway.exits:
                if not each.asked:
                    self.broken.append(f"{each.host} ended by itself: {each.code}")
                elif each.code > 0:
                    self.broken.append(f"{each.host} ended with {each.code}")
                elif each.took_s > GRACE_S + KILL_SLACK_S / 2:
                    self.broken.append(f"{each.host} took {each.took_s:.1f} s to stop")
            memory, files = gateway.resident_bytes(), gateway.open_files()
            if memory > MEMORY_LIMIT_BYTES:
                self.broken.append(f"{gateway.name} holds {memory >> 20} MB")
            if files > FILES_LIMIT:
                self.broken.append(f"{gateway.name} holds {files} descriptors")

    def summary(self) -> str:
        """Return how many requests of each kind got which status."""
        counts = Counter((each.kind, each.status or each.problem) for each in self.sent)
        return " ".join(f"{k}:{s}={n}" for (k, s), n in sorted(counts.items(), key=str))
