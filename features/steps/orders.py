"""Steps of orders, leases and rollouts."""

import json
import signal
import threading
import time

from behave import given, then, when
from helper import open_stream, start_fleet, wait_for

from dev.fleet import call

QUICK = {
    "controller": {
        "lease_duration_s": 1.5,
        "order_send_s": 0.4,
        "order_interval_s": 0.2,
        "reread_s": 0.5,
        "loads_per_min": 6000,
        "status_interval_s": 1,
        "endpoint_poll_s": 0.2,
        "host_poll_s": 0.5,
    },
    "membership": {"interval_s": 0.2, "suspect_s": 1, "dead_s": 2},
}
LEASE = "baobabturn-lease"
STATUS = "baobabturn-status"


@given('a shared "{name}" fleet with {engines:d} engines and quick leases')
def quick_fleet(context, name, engines):
    fleet = getattr(context.feature, "fleet", None)
    if fleet is None:
        options = {"hosts": 3, "engines": engines, "workers": 1}
        fleet = start_fleet(context, name, True, overrides=QUICK, **options)
        context.feature.watch = Watch(fleet=fleet)
        context.feature.watch.start()
    context.fleet = fleet


class Watch(threading.Thread):
    """Samples the engines' state and notes the least number that served."""

    def __init__(self, *, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.least = 99

    def run(self):
        """Sample for as long as the fleet runs."""
        while not any(p.poll() is not None for p in self.fleet.processes.values()):
            try:
                serving = [state(self.fleet, name) for name in engines(self.fleet)]
            except OSError:
                return
            self.least = min(self.least, sum(serves(each) for each in serving))
            time.sleep(0.03)


def engines(fleet):
    return [e["name"] for e in fleet.endpoints if e["kind"] == "engine"]


def state(fleet, name):
    return call(fleet.endpoint_url(name) + "/orders")


def serves(found):
    return found["role"] == "serve" and not found["loading"] and bool(found["models"])


def declare(context, change):
    """Apply the configuration with a change made to it."""
    path = context.fleet.folder / "configuration.json"
    values = json.loads(path.read_text())
    change(values)
    path.write_text(json.dumps(values))
    settings = context.fleet.settings_path(context.fleet.hosts[0].name)
    context.fleet.command("apply", str(path), "--settings", settings)


@when('version "{version}" of the model is declared')
def declare_version(context, version):
    def change(values):
        values["models"][0]["version"] = version

    declare(context, change)


@then('every engine holds version "{version}" and serves')
def holds_version(context, version):
    model = context.fleet.deployment.model

    def check():
        found = [state(context.fleet, name) for name in engines(context.fleet)]
        return all(s["models"] == {model: version} and serves(s) for s in found)

    wait_for(check, f"version {version} everywhere", 60)


@then("at every moment at least {count:d} engine served")
def served_always(context, count):
    assert context.feature.watch.least >= count, context.feature.watch.least


@given('every engine fails to load version "{version}"')
def fail_version(context, version):
    for name in engines(context.fleet):
        context.fleet.control(name, fail_versions=[version])


@given("loads take {seconds:g} s")
def load_time(context, seconds):
    for name in engines(context.fleet):
        context.fleet.control(name, load_s=seconds)


def objects(context, kind):
    return call(f"{context.fleet.platform}/objects/{kind}")["objects"]


@then('the platform\'s status says that version "{bad}" was rolled back to "{good}"')
def rolled_back(context, bad, good):
    wanted = {"version": bad, "previous": good}

    def check():
        found = [each["value"]["rollbacks"] for each in objects(context, STATUS)]
        return any(wanted in list(rollbacks.values()) for rollbacks in found)

    wait_for(check, "the status")


@when("the holder of the orders' lease is paused")
def pause_holder(context):
    given_by = {order["term"] for order in all_orders(context)}
    assert given_by
    leases = {lease["name"]: lease["value"] for lease in objects(context, LEASE)}
    status = [s["name"] for s in objects(context, STATUS) if s["value"]["engines"]]
    holder = leases[status[0]]["holder"].partition("/")[0]
    context.paused = f"controller@{holder}"
    context.fleet.signal(context.paused, signal.SIGSTOP)


@when("the paused holder wakes")
def wake_holder(context):
    context.fleet.signal(context.paused, signal.SIGCONT)
    context.fleet.wait_ready()


def all_orders(context):
    return [
        order
        for name in engines(context.fleet)
        for order in context.fleet.counts(name)["orders"]
    ]


@then("no engine carried out an order with an older term after a newer one")
def terms_rise(context):
    for name in engines(context.fleet):
        carried = [
            order["term"]
            for order in context.fleet.counts(name)["orders"]
            if not order["refused"]
        ]
        assert carried == sorted(carried), (name, carried)
    assert len({order["term"] for order in all_orders(context)}) > 1


@when('engine {number:d} is declared in role "{role}"')
def declare_role(context, number, role):
    name = engines(context.fleet)[number - 1]

    def change(values):
        for endpoint in values["endpoints"]:
            if endpoint["name"] == name:
                endpoint["role"] = role

    declare(context, change)


@then("engine {number:d} gets no new work and the others serve")
def no_new_work(context, number):
    name = engines(context.fleet)[number - 1]
    wait_for(lambda: state(context.fleet, name)["role"] == "drain", "the role")
    time.sleep(3)
    before = sum(context.fleet.counts(name)["started"].values())
    for each in range(12):
        opened = open_stream(
            context.fleet.entry(each % 3) + "/v1/completions",
            key="key-buyers",
            body={
                "model": context.fleet.deployment.model,
                "prompt": f"[tag=drained{each} length=2]",
                "stream": True,
            },
        )
        assert list(opened.events())[-1].data == "[DONE]"
    assert sum(context.fleet.counts(name)["started"].values()) == before
