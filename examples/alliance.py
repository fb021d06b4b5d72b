"""Declares the Cabinet Alliance's deployment; its argument names the endpoints."""

import json
import pathlib
import sys

from baobabturn import declare

endpoints = json.loads(pathlib.Path(sys.argv[1]).read_text())
config = declare.Configuration()
estimator = config.model("estimator-llm", version="1", context_tokens=32768)
booking = config.service(
    "booking-app",
    operations=[
        declare.operation("GET", "/status/*", repeatable=True),
        declare.operation("POST", "/bookings", repeatable=False),
    ],
)
for line in endpoints:
    kind = {"models": [estimator]} if line["kind"] == "engine" else {"service": booking}
    config.endpoint(
        line["name"],
        url=line["url"],
        failure_domain=line["failure_domain"],
        region=line["region"],
        memory_tokens=line["memory_tokens"],
        checks_fencing=line["checks_fencing"],
        **kind,
    )
for name, weight, priority in (
    ("shop-cedar", 3.0, 0),
    ("shop-fir", 3.0, 0),
    ("shop-maple", 2.0, 0),
    ("shop-alder", 2.0, 0),
    ("booking", 2.0, 10),
    ("homeowners", 1.0, 5),
    ("questions", 1.0, 10),
    ("photos", 1.0, 0),
    ("training", 1.0, -5),
    ("office", 1.0, 0),
):
    config.workspace(
        name,
        keys=[f"key-{name}"],
        models=[estimator],
        services=[booking],
        weight=weight,
        priority=priority,
    )
config.print()
