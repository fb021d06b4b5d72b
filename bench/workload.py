"""The bench's load: who asks for what and when, drawn from a seed.

Lengths are lognormal and unknown to the system: they stand in a mark that only
the fake engine reads.  Times, deadlines and engine speeds are given at the
bench's time scale.
"""

from __future__ import annotations

import math
import random

import attrs

BLOCK_BYTES = 256
LENGTH_LIMIT = 1000
WORDS = "herd calf tally ledger spray door oak maple hinge quote lichen barn".split()


@attrs.frozen(kw_only=True)
class Kind:
    """A class of requests; ``share`` is by number, ``median`` in tokens."""

    name: str
    short: bool
    share: float
    median: float
    sigma: float
    own_bytes: int
    shared_blocks: int
    streamed: float
    deadline_s: float
    workspaces: dict[str, float]


@attrs.frozen(kw_only=True)
class Phase:
    """A stretch of load: name, length and requests a second.

    ``slowed`` endpoints are slow in it, and deadlines are ``patience`` times as
    long, so that the tail is seen and not cut off by the deadlines.
    """

    name: str
    seconds: float
    rate: float
    slowed: int = 0
    patience: float = 1.0


@attrs.frozen(kw_only=True)
class Planned:
    """One request of the plan; ``at`` is seconds from the start."""

    number: int
    at: float
    phase: str
    kind: Kind
    workspace: str
    length: int
    stream: bool
    entry: int
    prompt: str
    deadline_s: float

    @property
    def tag(self) -> str:
        """Return the tag by which the fakes count the request."""
        return f"r{self.number}"


HERD = (
    Kind(
        name="read",
        short=True,
        share=0.70,
        median=8,
        sigma=0.8,
        own_bytes=160,
        shared_blocks=2,
        streamed=1.0,
        deadline_s=5,
        workspaces={"buyers": 5, "clerks": 2, "herders-north": 2, "coop-1": 1},
    ),
    Kind(
        name="check",
        short=False,
        share=0.08,
        median=40,
        sigma=0.7,
        own_bytes=600,
        shared_blocks=2,
        streamed=0.5,
        deadline_s=12,
        workspaces={"auditors": 4, "coop-2": 1},
    ),
    Kind(
        name="summary",
        short=False,
        share=0.22,
        median=110,
        sigma=0.9,
        own_bytes=500,
        shared_blocks=4,
        streamed=0.5,
        deadline_s=20,
        workspaces={
            "herders-north": 5,
            "herders-south": 3,
            "coop-1": 1,
            "coop-2": 1,
            "coop-3": 1,
            "coop-4": 1,
            "coop-5": 1,
        },
    ),
)
ALLIANCE = (
    Kind(
        name="question",
        short=True,
        share=0.68,
        median=10,
        sigma=0.8,
        own_bytes=200,
        shared_blocks=2,
        streamed=1.0,
        deadline_s=5,
        workspaces={"questions": 4, "homeowners": 3, "shop-cedar": 2, "shop-fir": 1},
    ),
    Kind(
        name="photo",
        short=False,
        share=0.10,
        median=60,
        sigma=0.7,
        own_bytes=900,
        shared_blocks=2,
        streamed=0.5,
        deadline_s=12,
        workspaces={"photos": 3, "office": 1, "training": 1},
    ),
    Kind(
        name="quote",
        short=False,
        share=0.22,
        median=100,
        sigma=0.9,
        own_bytes=700,
        shared_blocks=4,
        streamed=0.7,
        deadline_s=20,
        workspaces={"shop-cedar": 4, "shop-fir": 4, "shop-maple": 2, "shop-alder": 1},
    ),
)
KINDS = {"herd": HERD, "alliance": ALLIANCE}

SWING = (
    Phase(name="calm", seconds=4, rate=24),
    Phase(name="crest", seconds=8, rate=240),
    Phase(name="after", seconds=6, rate=24),
)
SLOWED = (Phase(name="slowed", seconds=14, rate=45, slowed=2, patience=2.0),)


def text_of(seed: str, size: int) -> str:
    """Return a text of some bytes that follows from a seed."""
    draw = random.Random(seed)
    words: list[str] = []
    length = 0
    while length < size:
        word = draw.choice(WORDS) + str(draw.randrange(100))
        words.append(word)
        length += len(word) + 1
    return " ".join(words)[:size]


def pick(draw: random.Random, weights: dict[str, float]) -> str:
    """Return one name drawn by weight."""
    return draw.choices(list(weights), list(weights.values()))[0]


def length_of(draw: random.Random, kind: Kind) -> int:
    """Return an answer's length in tokens."""
    length = draw.lognormvariate(math.log(kind.median), kind.sigma)
    return max(1, min(LENGTH_LIMIT, round(length)))


def plan(
    *, deployment: str, phases: tuple[Phase, ...], seed: int, first: int = 1
) -> list[Planned]:
    """Return the requests of some phases, in order of time."""
    draw = random.Random(f"{seed}/{deployment}/{phases[0].name}")
    kinds = KINDS[deployment]
    shares = [kind.share for kind in kinds]
    found = []
    start = 0.0
    number = first
    for phase in phases:
        at = start + draw.expovariate(phase.rate)
        while at < start + phase.seconds:
            kind = draw.choices(kinds, shares)[0]
            found.append(planned(draw, kind, number, at, phase))
            number += 1
            at += draw.expovariate(phase.rate)
        start += phase.seconds
    return found


def planned(
    draw: random.Random, kind: Kind, number: int, at: float, phase: Phase
) -> Planned:
    """Return one request with its prompt: a shared beginning, its mark, its own."""
    workspace = pick(draw, kind.workspaces)
    length = length_of(draw, kind)
    shared = text_of(f"{workspace}/{kind.name}", kind.shared_blocks * BLOCK_BYTES)
    own = text_of(f"own/{number}", kind.own_bytes)
    return Planned(
        number=number,
        at=at,
        phase=phase.name,
        deadline_s=kind.deadline_s * phase.patience,
        kind=kind,
        workspace=workspace,
        length=length,
        stream=draw.random() < kind.streamed,
        entry=draw.randrange(1_000_000),
        prompt=f"{shared}[tag=r{number} length={length}]{own}",
    )
