"""Check the invariants of a soak run from the records of callers and endpoints."""

from __future__ import annotations

import re
from collections import Counter

import attrs

from fakes.rawhttp import Request
from fakes.site import RESPONSE_STAMP
from fakes.siteconfig import API_KEY, WORKSPACE
from soak.faults import DELAYING_FAULTS
from soak.load import PATHS_AND_METHODS, REQUEST_DEADLINE_S, SentRequest
from soak.process import KILL_DELAY_S, SHUTDOWN_GRACE_S
from soak.site import (
    COLD_PER_S,
    EVACUATE_S,
    EVENTS_PER_STREAM,
    KEY_REVOCATION_S,
    SECOND_KEY,
    SoakSite,
    Span,
)

# With these statuses a gateway promises that no endpoint ran the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)
STREAM_KINDS = ("draft", "check")
RUN_ONCE_KINDS = ("post", "draft")
# An event's text begins with the name of its engine.
EVENT_ENGINE = re.compile(r"^data: (\w+)-\d+$", re.MULTILINE)
# Deadlines are checked only if no fault has disturbed the host and the store for this
# long before the request.
UNDISTURBED_S = 3.0
DEADLINE_SLACK_S = 0.5
# Retry budget of the fleet in any window: a ratio of the requests plus a slack.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56, 10.0
# A cold endpoint may get this multiple of its service's rate and so many more requests
# in any one second.
COLD_OVER, COLD_SLACK = 1.5, 5
COLD_WINDOW_S = 1.0
RESIDENT_LIMIT_BYTES = 150 * 1024 * 1024
DESCRIPTOR_LIMIT = 600


@attrs.frozen(kw_only=True)
class EndpointRun:
    """One run of a request at one endpoint."""

    endpoint: str
    service: str
    request: Request

    @property
    def is_continuation(self) -> bool:
        """Return whether the run continues from the KV cache of an earlier one."""
        return "kv-from" in self.request.headers


class InvariantChecker:
    """Checks a soak run; ``violations`` has one line for sent violated invariant."""

    def __init__(self, *, site: SoakSite, sent_requests: list[SentRequest]):
        self.site = site
        self.sent_requests = sent_requests
        self.violations: list[str] = []
        self.runs: dict[str, list[EndpointRun]] = {}
        for name, endpoint in site.endpoints.items():
            for request in endpoint.ran:
                run = EndpointRun(
                    endpoint=name, service=endpoint.service, request=request
                )
                self.runs.setdefault(request.attempt_id, []).append(run)

    def check(self) -> list[str]:
        """Check all invariants and return the violations."""
        sent_by_id = {sent.attempt_id: sent for sent in self.sent_requests}
        for attempt_id in self.runs.keys() - sent_by_id.keys():
            self.violations.append(f"{attempt_id}: ran, but no caller sent it")
        for sent in self.sent_requests:
            self.check_runs(sent, self.runs.get(sent.attempt_id, []))
            self.check_response(sent)
            self.check_deadline(sent)
        self.check_retry_budget()
        self.check_evacuations()
        self.check_cold_endpoints()
        self.check_processes()
        return self.violations

    def report(self, sent: SentRequest, text: str) -> None:
        """Record a violation with the request that shows it."""
        label = f"{sent.kind} {sent.attempt_id} at {sent.gateway.name}"
        self.violations.append(f"{label}: {text}")

    def check_runs(self, sent: SentRequest, runs: list[EndpointRun]) -> None:
        """Check how often a request ran and what the endpoints received."""
        initial_runs = [run for run in runs if not run.is_continuation]
        if sent.kind in RUN_ONCE_KINDS and len(initial_runs) > 1:
            endpoint_names = [run.endpoint for run in initial_runs]
            self.report(sent, f"ran more than once, at {endpoint_names}")
        if sent.kind in RUN_ONCE_KINDS and sent.status in NOT_RUN_STATUSES and runs:
            self.report(sent, f"got {sent.status} (not run), but it ran")
        path, method = PATHS_AND_METHODS[sent.kind]
        for run in runs:
            request = run.request
            if (request.method, request.target) != (method, path):
                self.report(
                    sent, f"reached the endpoint as {request.method} {request.target}"
                )
            if method == "POST" and request.body != sent.attempt_id.encode():
                self.report(sent, "its body reached the endpoint changed")
            if request.headers.get("x-tenant") != WORKSPACE:
                self.report(sent, "ran for another workspace")
            if API_KEY in str(request.headers) or SECOND_KEY in str(request.headers):
                self.report(sent, "the caller's API key was forwarded to the endpoint")
            self.check_revoked_key(sent, run)

    def check_revoked_key(self, sent: SentRequest, run: EndpointRun) -> None:
        """Check that no request ran that was sent long after its key was revoked."""
        revoked_at = self.site.revoked_at.get(sent.api_key)
        if revoked_at is not None and sent.started_at > revoked_at + KEY_REVOCATION_S:
            self.report(
                sent,
                f"sent {sent.started_at - revoked_at:.1f} s after its key was revoked,"
                " but it ran",
            )

    def check_response(self, sent: SentRequest) -> None:
        """Check headers, events and body of a response with status 200."""
        reply = sent.reply
        if reply is None or reply.status != 200:
            return
        if reply.headers.get("x-response-stamp") != RESPONSE_STAMP:
            self.report(sent, "200 without the endpoint's response stamp")
        if reply.headers.get("x-attempt-id") != sent.attempt_id:
            self.report(sent, "200 with the attempt id of another request")
        if not self.runs.get(sent.attempt_id):
            self.report(sent, "200, but no endpoint ran it")
        if sent.kind in STREAM_KINDS:
            ids = reply.event_ids
            if ids != list(range(1, len(ids) + 1)):
                self.report(sent, f"event ids are not 1, 2, 3...: {ids[:9]}...")
            versions = {
                self.site.endpoints[name].version
                for name in EVENT_ENGINE.findall(reply.body.decode())
            }
            if len(versions) > 1:
                self.report(sent, f"one stream of the versions {sorted(versions)}")
            if reply.whole and len(ids) != EVENTS_PER_STREAM:
                self.report(
                    sent,
                    f"stream ended without an error after {len(ids)} events",
                )
        elif reply.whole and reply.body != b"done":
            self.report(sent, f"unexpected response body {reply.body[:20]!r}")

    def is_undisturbed(self, sent: SentRequest) -> bool:
        """Return whether no fault disturbed the gateway or the store before."""
        undisturbed_since = max(
            sent.gateway.undisturbed_since, self.site.store_undisturbed_since
        )
        return sent.started_at > undisturbed_since + UNDISTURBED_S

    def check_deadline(self, sent: SentRequest) -> None:
        """Check that an undisturbed request ended by its deadline, with a slack."""
        took_s = sent.ended_at - sent.started_at
        if (
            self.is_undisturbed(sent)
            and not sent.abandoned_at
            and took_s > REQUEST_DEADLINE_S + DEADLINE_SLACK_S
        ):
            self.report(
                sent,
                f"took {took_s:.1f} s without a fault: {sent.failure or sent.status}",
            )

    def check_retry_budget(self) -> None:
        """Check the retries of sent service against the budget in every window."""
        arrival_times: dict[str, list[float]] = {}
        retry_times: dict[str, list[float]] = {}
        for runs in self.runs.values():
            runs.sort(key=lambda run: run.request.arrived_at)
            for position, run in enumerate(runs):
                times_by_service = (
                    retry_times
                    if position and not run.is_continuation
                    else arrival_times
                )
                times_by_service.setdefault(run.service, []).append(
                    run.request.arrived_at
                )
        for service, times in retry_times.items():
            for start in times:
                retry_count = sum(
                    start <= time < start + RETRY_WINDOW_S for time in times
                )
                service_arrivals = arrival_times.get(service, [])
                arrival_count = sum(
                    start - RETRY_WINDOW_S <= time < start + RETRY_WINDOW_S
                    for time in service_arrivals
                )
                if retry_count > RETRY_RATIO * arrival_count + RETRY_SLACK:
                    self.violations.append(
                        f"{service}: {retry_count} retries"
                        f" for {arrival_count} requests in 10 s"
                    )
                    break

    def check_evacuations(self) -> None:
        """Check that nothing came to a closed endpoint later than is allowed."""
        for evacuation in self.site.evacuations:
            for name, endpoint in self.site.endpoints.items():
                if endpoint.failure_domain != evacuation.name:
                    continue
                for request in endpoint.ran:
                    at = request.arrived_at
                    late_s = at - self.obeyed_from(evacuation, at)
                    if late_s > 0 and at < evacuation.ended_at:
                        self.violations.append(
                            f"{request.attempt_id}: came to {name}"
                            f" {at - evacuation.began_at:.1f} s after"
                            f" {evacuation.name} was closed, {late_s:.1f} s late"
                        )

    def obeyed_from(self, evacuation: Span, at: float) -> float:
        """Return from when on an evacuation has to be obeyed, as seen at a time."""
        delayed_until = [
            min(at, fault.ended_at)
            for fault in self.site.faults
            if fault.name in DELAYING_FAULTS and fault.began_at <= at
        ]
        return max([evacuation.began_at, *delayed_until]) + EVACUATE_S

    def check_cold_endpoints(self) -> None:
        """Check how many requests cold endpoints got in any one second."""
        for name, endpoint in self.site.endpoints.items():
            times = sorted(
                request.arrived_at
                for request in endpoint.ran
                if request.arrived_at < endpoint.cold_until
            )
            limit = COLD_OVER * COLD_PER_S[endpoint.service] + COLD_SLACK
            count, start = busiest_window(times, COLD_WINDOW_S)
            if count > limit:
                left_s = endpoint.cold_until - start
                self.violations.append(
                    f"{name} got {count} requests in a second, {left_s:.1f} s before"
                    f" it was warm, where {limit:g} are allowed"
                )

    def check_processes(self) -> None:
        """Check how processes ended, their resident memory and open descriptors."""
        for gateway in self.site.gateways:
            for process_exit in gateway.exits:
                if not process_exit.stop_requested:
                    self.violations.append(
                        f"{process_exit.host} exited unrequested"
                        f" with code {process_exit.code}"
                    )
                elif process_exit.code > 0:
                    self.violations.append(
                        f"{process_exit.host} exited with code {process_exit.code}"
                    )
                elif process_exit.stop_duration_s > SHUTDOWN_GRACE_S + KILL_DELAY_S / 2:
                    self.violations.append(
                        f"{process_exit.host} took"
                        f" {process_exit.stop_duration_s:.1f} s to stop"
                    )
            resident_bytes, descriptor_count = (
                gateway.resident_bytes(),
                gateway.open_descriptor_count(),
            )
            if resident_bytes > RESIDENT_LIMIT_BYTES:
                self.violations.append(
                    f"{gateway.name} has {resident_bytes >> 20} MiB of resident memory"
                )
            if descriptor_count > DESCRIPTOR_LIMIT:
                self.violations.append(
                    f"{gateway.name} has {descriptor_count} open descriptors"
                )

    def summary(self) -> str:
        """Return the number of requests by kind and by status or error."""
        counts = Counter(
            (sent.kind, sent.status or sent.failure) for sent in self.sent_requests
        )
        return " ".join(
            f"{kind}:{status}={count}"
            for (kind, status), count in sorted(counts.items(), key=str)
        )


def busiest_window(times: list[float], length_s: float) -> tuple[int, float]:
    """Return the most of some sorted times in any window, and where it starts.

    Example::

        >>> busiest_window([0.0, 0.9, 1.5, 1.8], 1.0)
        (3, 0.9)
    """
    best, best_start, first = 0, 0.0, 0
    for last, time in enumerate(times):
        while time - times[first] >= length_s:
            first += 1
        if last - first + 1 > best:
            best, best_start = last - first + 1, times[first]
    return best, best_start
