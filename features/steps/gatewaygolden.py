"""Steps that compare whole sessions through a gateway with golden files."""

import json
import os
import re
from unittest import mock

from behave import given, then, when

from baobabturn.gateway import retrytimes
from features.helper import ROOT
from features.steps.gateway import run, start

GOLDEN = ROOT / "features" / "golden"
UPDATE = "BAOBABTURN_UPDATE_GOLDEN"
# What differs from run to run: addresses, times left, and messages of failures.
CHANGING = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"(x-deadline-ms: )\d+"), r"\1LEFT"),
    (re.compile(r'("message": )"[^"]*"'), r'\1"..."'),
)


@given("a site with {plain:d} plain and {engines:d} engine endpoints of 3 events")
def small_site(context, plain, engines):
    start(context, plain=plain, engines=engines, events=3)


@when("the session sends {method} {path} with {body}")
def session(context, method, path, body):
    data = b'{"calves": 3}' if body == "a body" else b""
    context.sent = f"{method} {path}"
    # Without spread, times to retry are the same each time.
    with mock.patch.object(retrytimes, "draw", lambda: 0.0):
        context.reply = run(context, context.case.call(path, method, data))


def written(context):
    """Return the session as text."""
    lines = [f"caller sends {context.sent}"]
    for name, endpoint in context.case.endpoints.items():
        for request in endpoint.ran:
            lines.append(f"endpoint {name} gets {request.method} {request.target}")
            lines += [f"  {k}: {v}" for k, v in sorted(request.headers.items())]
            lines.append(f"  body {request.body.decode()}")
    reply = context.reply
    lines.append(f"caller gets {reply.status}, whole: {reply.whole}")
    lines += [f"  {k}: {v}" for k, v in sorted(reply.headers.items())]
    lines += [f"  {line}" for line in reply.body.decode().splitlines()]
    for name in sorted(context.case.store.objects.get("baobabturn-gateways", {})):
        item = context.case.store.objects["baobabturn-gateways"][name]
        lines.append(f"store holds {name}: {json.dumps(item['spec'], sort_keys=True)}")
    text = "\n".join(lines) + "\n"
    for pattern, put in CHANGING:
        text = pattern.sub(put, text)
    return text


@then('the session is as in the golden file "{name}"')
def as_golden(context, name):
    path = GOLDEN / f"{name}.txt"
    found = written(context)
    if os.environ.get(UPDATE):
        path.write_text(found)
    assert found == path.read_text(), found
