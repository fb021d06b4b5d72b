"""The two deployments of the brief at today's size."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Deployment:
    """A deployment's places, workers and the program that declares it."""

    name: str
    region: str
    failure_domains: tuple[str, ...]
    hosts: int
    model: str
    engines: int
    service: str
    workers: int
    program: str
    memory_tokens: int = 40_000

    def domain(self, number: int) -> str:
        """Return the failure domain of a numbered host or worker."""
        return self.failure_domains[number % len(self.failure_domains)]


HERD = Deployment(
    name="herd",
    region="cr-central",
    failure_domains=("heredia", "cartago", "alajuela"),
    hosts=9,
    model="rumia",
    engines=7,
    service="corral",
    workers=3,
    program="examples/herd.py",
)
ALLIANCE = Deployment(
    name="alliance",
    region="lower-mainland",
    failure_domains=("burnaby", "surrey", "richmond", "coquitlam"),
    hosts=9,
    model="estimator-llm",
    engines=6,
    service="booking-app",
    workers=4,
    program="examples/alliance.py",
)
DEPLOYMENTS = {"herd": HERD, "alliance": ALLIANCE}
