"""The open-loop load generator: sends the plan on time and notes each answer."""

from __future__ import annotations

import asyncio
import json
import re
import time

import aiohttp
import attrs

from bench.workload import Planned

TEXT = re.compile(rb'"text": ?"([^"]*)"')
TOKEN = re.compile(r"([^ .]+)\.(\d+):(\d+) ")
LAG_PROBE_S = 0.01
CALLER_SLACK_S = 5.0


@attrs.define(kw_only=True)
class Record:
    """What a caller saw of one request; times in seconds from the start."""

    number: int
    phase: str
    kind: str
    short: bool
    workspace: str
    stream: bool
    length: int
    deadline_s: float
    at: float
    late_s: float = 0.0
    first_s: float = -1.0
    end_s: float = -1.0
    gaps_s: list[float] = attrs.Factory(list)
    tokens: int = 0
    finish: str = ""
    status: int = 0
    code: int = 0
    run: str = ""
    lost: int = 0
    repeated: int = 0
    crossed: int = 0
    cut: bool = False

    @property
    def whole(self) -> bool:
        """Return whether the whole answer came."""
        return bool(self.finish) and self.code == 0 and not self.cut

    @property
    def in_time(self) -> bool:
        """Return whether the whole answer came by its deadline."""
        return self.whole and self.end_s - self.at <= self.deadline_s


class Caller:
    """Sends a plan to the entries and keeps the records."""

    def __init__(self, *, entries: list[str], keys: dict[str, str], model: str):
        self.entries = entries
        self.keys = keys
        self.model = model
        self.records: list[Record] = []
        self.lags: list[float] = []
        self.started = 0.0

    async def run(self, plan: list[Planned], limit_s: float) -> None:
        """Send each request at its time; return when all have ended."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self.started = time.monotonic()
            probe = asyncio.create_task(self.watch_lag())
            tasks = []
            for item in plan:
                wait = self.started + item.at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                tasks.append(asyncio.create_task(self.one(session, item)))
            await asyncio.wait(tasks, timeout=limit_s)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            probe.cancel()

    async def watch_lag(self) -> None:
        """Note how late the generator's own event loop runs."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_PROBE_S)
            self.lags.append(time.monotonic() - before - LAG_PROBE_S)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    async def one(self, session: aiohttp.ClientSession, item: Planned) -> None:
        """Send one request and note its answer."""
        record = Record(
            number=item.number,
            phase=item.phase,
            kind=item.kind.name,
            short=item.kind.short,
            workspace=item.workspace,
            stream=item.stream,
            length=item.length,
            deadline_s=item.deadline_s,
            at=item.at,
            late_s=self.now() - item.at,
        )
        self.records.append(record)
        url = self.entries[item.entry % len(self.entries)]
        body = {"model": self.model, "prompt": item.prompt, "stream": item.stream}
        headers = {
            "Authorization": f"Bearer {self.keys[item.workspace]}",
            "X-Baobabturn-Deadline": str(item.deadline_s),
            "X-Baobabturn-Kind": item.kind.name,
        }
        try:
            async with session.post(
                url + "/v1/completions", json=body, headers=headers
            ) as answer:
                record.status = answer.status
                if answer.status != 200:
                    self.note_error(record, await answer.json())
                elif item.stream:
                    await self.read_stream(answer, record, item.tag)
                else:
                    await self.read_whole(answer, record, item.tag)
        except (aiohttp.ClientError, OSError, ValueError):
            record.cut = True
        record.end_s = self.now()

    def note_error(self, record: Record, body: dict) -> None:
        """Note a numbered error."""
        record.code = int(body["error"]["code"])
        record.run = body["error"]["run"]

    async def read_stream(
        self, answer: aiohttp.ClientResponse, record: Record, tag: str
    ) -> None:
        """Read a stream and note the time of each token."""
        last = -1.0
        texts = []
        failed = False
        async for line in answer.content:
            if line.startswith(b"event: error"):
                failed = True
            if not line.startswith(b"data: "):
                continue
            if failed:
                self.note_error(record, json.loads(line[6:]))
                break
            found = TEXT.search(line)
            if found is not None and found.group(1):
                now = self.now()
                if last < 0:
                    record.first_s = now
                else:
                    record.gaps_s.append(now - last)
                last = now
                texts.append(found.group(1).decode())
            elif b'"finish_reason": "' in line or b'"finish_reason":"' in line:
                record.finish = "stop"
        check_tokens(record, "".join(texts), tag)

    async def read_whole(
        self, answer: aiohttp.ClientResponse, record: Record, tag: str
    ) -> None:
        """Read a whole answer."""
        body = await answer.json()
        choice = body["choices"][0]
        record.first_s = self.now()
        record.finish = choice["finish_reason"] or ""
        check_tokens(record, choice["text"], tag)


def check_tokens(record: Record, text: str, tag: str) -> None:
    """Count the tokens, and those that are lost, repeated or another's."""
    seen: set[int] = set()
    runs: set[str] = set()
    for name, run, index in TOKEN.findall(text):
        if name != tag:
            record.crossed += 1
            continue
        runs.add(run)
        if int(index) in seen:
            record.repeated += 1
        seen.add(int(index))
    record.tokens = len(seen)
    record.crossed += max(0, len(runs) - 1)
    wanted = record.length if record.finish else (max(seen) + 1 if seen else 0)
    record.lost += wanted - len(seen)
    if not record.finish and record.code == 0:
        record.cut = True
