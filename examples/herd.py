"""Declares the Herd Ledger Unit's deployment; its argument names the endpoints."""

import json
import pathlib
import sys

from baobabturn import declare

endpoints = json.loads(pathlib.Path(sys.argv[1]).read_text())
config = declare.Configuration()
rumia = config.model("rumia", version="1", context_tokens=32768)
corral = config.service(
    "corral",
    operations=[
        declare.operation("GET", "/ledger/*", repeatable=True),
        declare.operation("POST", "/checks", repeatable=True),
        declare.operation("POST", "/tally", repeatable=False),
        declare.operation("PUT", "/animals/*", repeatable=False),
    ],
)
for line in endpoints:
    kind = {"models": [rumia]} if line["kind"] == "engine" else {"service": corral}
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
    ("herders-north", 4.0, 0),
    ("herders-south", 2.0, 0),
    ("auditors", 2.0, 5),
    ("clerks", 1.0, 10),
    ("buyers", 3.0, 10),
    ("coop-1", 1.0, 0),
    ("coop-2", 1.0, 0),
    ("coop-3", 1.0, 0),
    ("coop-4", 1.0, 0),
    ("coop-5", 1.0, 0),
):
    config.workspace(
        name,
        keys=[f"key-{name}"],
        models=[rumia],
        services=[corral],
        weight=weight,
        priority=priority,
    )
config.print()
