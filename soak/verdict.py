"""Check the invariants of a soak run from the records of callers and endpoints."""

from __future__ import annotations

from collections import Counter

import attrs

from fakes.site import SIGNATURE, Request
from fakes.siteconfig import KEY, WORKSPACE
from soak.load import DEADLINE_S, PATHS, Sent
from soak.process import GRACE_S, KILL_SLACK_S
from soak.world import EVENTS, REVOKE_S, SECOND_KEY, World

# With these statuses a gateway promises that no endpoint ran the request.
PROMISES = (408, 421, 429, 503)
STREAMS = ("draft", "check")
ONCE = ("post", "draft")
# Deadlines are checked only if no fault has disturbed the host and the store for this
# long before the request.
CALM_S = 3.0
TIME_SLACK_S = 0.5
# Retry budget of the fleet in any window: a ratio of the requests and a constant.
RETRY_RATIO, RETRY_SLACK, WINDOW_S = 0.2, 56, 10.0
MEMORY_LIMIT_BYTES = 150 * 1024 * 1024
FILES_LIMIT = 600


@attrs.frozen(kw_only=True)
class Run:
    """One run of a request at one endpoint."""

    endpoint: str
    service: str
    request: Request

    @property
    def goes_on(self) -> bool:
        """Return whether the run continues from the KV cache of an earlier one."""
        return "kv-from" in self.request.headers


class Verdict:
    """Checks a soak run; ``broken`` holds one line for each violated invariant."""

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
        """Check all invariants and return the violations."""
        known = {each.ident: each for each in self.sent}
        for ident in self.runs.keys() - known.keys():
            self.broken.append(f"{ident}: ran, but no caller sent it")
        for each in self.sent:
            self.judge_runs(each, self.runs.get(each.ident, []))
            self.judge_answer(each)
            self.judge_time(each)
        self.judge_retries()
        self.judge_processes()
        return self.broken

    def fault(self, sent: Sent, text: str) -> None:
        """Record a violation with the request that shows it."""
        where = f"{sent.kind} {sent.ident} at {sent.gateway.name}"
        self.broken.append(f"{where}: {text}")

    def judge_runs(self, sent: Sent, runs: list[Run]) -> None:
        """Check how often a request ran and what the endpoints received."""
        begun = [run for run in runs if not run.goes_on]
        if sent.kind in ONCE and len(begun) > 1:
            names = [run.endpoint for run in begun]
            self.fault(sent, f"ran more than once, at {names}")
        if sent.kind in ONCE and sent.status in PROMISES and runs:
            self.fault(sent, f"got {sent.status} (not run), but it ran")
        path, method = PATHS[sent.kind]
        for run in runs:
            request = run.request
            if (request.method, request.target) != (method, path):
                self.fault(
                    sent, f"reached the endpoint as {request.method} {request.target}"
                )
            if method == "POST" and request.body != sent.ident.encode():
                self.fault(sent, "its body reached the endpoint changed")
            if request.headers.get("x-tenant") != WORKSPACE:
                self.fault(sent, "ran for another workspace")
            if KEY in str(request.headers) or SECOND_KEY in str(request.headers):
                self.fault(sent, "the caller's API key was forwarded to the endpoint")
            self.judge_key(sent, run)

    def judge_key(self, sent: Sent, run: Run) -> None:
        """Check that no request ran whose key had been revoked long before."""
        gone = self.world.revoked.get(sent.key)
        if gone is not None and sent.began > gone + REVOKE_S:
            self.fault(
                sent,
                f"sent {sent.began - gone:.1f} s after its key was revoked, but it ran",
            )

    def judge_answer(self, sent: Sent) -> None:
        """Check headers, events and body of a response with status 200."""
        reply = sent.reply
        if reply is None or reply.status != 200:
            return
        if reply.headers.get("x-response-stamp") != SIGNATURE:
            self.fault(sent, "200 without the endpoint's response stamp")
        if reply.headers.get("x-attempt-id") != sent.ident:
            self.fault(sent, "200 with the attempt id of another request")
        if not self.runs.get(sent.ident):
            self.fault(sent, "200, but no endpoint ran it")
        if sent.kind in STREAMS:
            ids = reply.event_ids
            if ids != list(range(1, len(ids) + 1)):
                self.fault(sent, f"event ids are not 1, 2, 3...: {ids[:9]}...")
            if reply.whole and len(ids) != EVENTS:
                self.fault(
                    sent,
                    f"stream ended without an error after {len(ids)} events",
                )
        elif reply.whole and reply.body != b"done":
            self.fault(sent, f"unexpected response body {reply.body[:20]!r}")

    def is_calm(self, sent: Sent) -> bool:
        """Return whether no fault disturbed the gateway or the store before."""
        since = max(sent.gateway.calm_since, self.world.store_calm_since)
        return sent.began > since + CALM_S

    def judge_time(self, sent: Sent) -> None:
        """Check that an undisturbed request ended by its deadline, with a slack."""
        took_s = sent.ended - sent.began
        if self.is_calm(sent) and not sent.left and took_s > DEADLINE_S + TIME_SLACK_S:
            self.fault(
                sent,
                f"took {took_s:.1f} s without a fault: {sent.problem or sent.status}",
            )

    def judge_retries(self) -> None:
        """Check the retries of each service against the budget in every window."""
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
                    self.broken.append(
                        f"{service}: {within} retries for {base} requests in 10 s"
                    )
                    break

    def judge_processes(self) -> None:
        """Check how processes ended, their resident memory and open descriptors."""
        for gateway in self.world.gateways:
            for each in gateway.exits:
                if not each.asked:
                    self.broken.append(
                        f"{each.host} exited unrequested with code {each.code}"
                    )
                elif each.code > 0:
                    self.broken.append(f"{each.host} exited with code {each.code}")
                elif each.took_s > GRACE_S + KILL_SLACK_S / 2:
                    self.broken.append(f"{each.host} took {each.took_s:.1f} s to stop")
            memory, files = gateway.resident_bytes(), gateway.open_files()
            if memory > MEMORY_LIMIT_BYTES:
                self.broken.append(
                    f"{gateway.name} has {memory >> 20} MiB of resident memory"
                )
            if files > FILES_LIMIT:
                self.broken.append(f"{gateway.name} has {files} open descriptors")

    def summary(self) -> str:
        """Return the number of requests by kind and by status or error."""
        counts = Counter((each.kind, each.status or each.problem) for each in self.sent)
        return " ".join(f"{k}:{s}={n}" for (k, s), n in sorted(counts.items(), key=str))
