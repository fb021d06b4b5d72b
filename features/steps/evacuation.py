"""Steps on the decisions about evacuations, without a network."""

import types

from behave import given, then, when

from baobabturn.core.events import Event
from baobabturn.gateway import evacuations, storeupdates
from baobabturn.gateway.evacuations import EvacuationWatch
from baobabturn.gateway.mirror import Mirror, StoreContact, boot_time_s
from baobabturn.gateway.storeupdates import StoreUpdates
from baobabturn.placement.evacuation import Evacuations
from baobabturn.wire.gatewaymessages import StoreState, StoreVouch
from features.steps.gateway import run

ASK_INTERVAL_S = 0.5


def names_in(text):
    """Return the names in a step, separated by commas."""
    return {name for name in text.split(",") if name}


@given("evacuations that are held for {seconds:g} seconds over a return of the store")
def held_evacuations(context, seconds):
    context.evacuations = Evacuations(hold_s=seconds)


@when('at {now:g} s the list of era {era:d} names "{names}"')
@when('at {now:g} s the list of era {era:d} names ""')
def list_names(context, now, era, names=""):
    context.evacuations.apply_list(names_in(names), era=era, now=now)


@when('at {now:g} s the entry "{name}" is {what}')
def entry_changes(context, now, name, what):
    context.evacuations.apply_change(name, exists=what == "written", now=now)


@then('at {now:g} s "{names}" are closed')
@then('at {now:g} s "" are closed')
def are_closed(context, now, names=""):
    closed = context.evacuations.closed(now)
    assert closed == names_in(names), closed


@given(
    "a watch of evacuations whose process was paused for {pause:g} of {bound:g} seconds"
)
def paused_watch(context, pause, bound):
    context.logged = []
    program = types.SimpleNamespace(
        metrics=types.SimpleNamespace(gauge=lambda name, read: None),
        events=types.SimpleNamespace(
            emit=lambda event, **fields: context.logged.append(event)
        ),
    )
    endpoints = types.SimpleNamespace(change_listeners=[])
    watch = EvacuationWatch(
        program=program, endpoints=endpoints, pools=None, evacuate_s=bound
    )
    watch.ticked_at -= pause
    context.evacuation_watch = watch


def wait_of_request(context):
    """Return how long a request waits before it is sent."""
    began_at = boot_time_s()
    run(context, context.evacuation_watch.wait_current())
    return boot_time_s() - began_at


@when(
    "a request is about to be sent, and the list is confirmed after {seconds:g} seconds"
)
def confirmed_after(context, seconds):
    asked = []
    context.evacuation_watch.ask = lambda: asked.append(boot_time_s())
    context.evacuation_watch.confirmed_since = lambda at: (
        bool(asked) and boot_time_s() >= asked[0] + seconds
    )
    context.waited_s, context.delay_s = wait_of_request(context), seconds


@when("a request is about to be sent, and nobody confirms the list")
def never_confirmed(context):
    context.evacuation_watch.confirmed_since = lambda at: False
    context.waited_s = wait_of_request(context)


@then("the request has waited for that, and the next one doesn't wait")
def has_waited(context):
    assert context.waited_s >= context.delay_s, context.waited_s
    context.evacuation_watch.confirmed_since = lambda at: False
    assert wait_of_request(context) < evacuations.MAX_CONFIRMATION_WAIT_S / 2
    assert not context.logged


@then("the request has waited for at most {seconds:g} seconds, which is logged")
def waited_at_most(context, seconds):
    assert evacuations.MAX_CONFIRMATION_WAIT_S <= context.waited_s <= seconds
    assert context.logged == [Event.EVACUATIONS_UNCONFIRMED], context.logged


@given(
    "a gateway that relies on others for two kinds, one watched for {seconds:g} seconds"
)
def relies_on_others(context, seconds):
    contact = StoreContact(events=None)

    def mirror(kind, wait_s):
        return Mirror(
            store=None,
            contact=contact,
            kind=kind,
            wait_s=wait_s,
            on_list=lambda changes: None,
            on_change=lambda change: None,
        )

    watchers = types.SimpleNamespace(is_watcher=lambda: False, is_root=lambda: False)
    table = types.SimpleNamespace(all_heard_in_domain=lambda: True)
    context.updates = StoreUpdates(
        peers=types.SimpleNamespace(handlers={}, table=table),
        watchers=watchers,
        contact=contact,
        mirrors=[mirror("things", 0.6)],
        own_mirrors=[mirror("evacuations", seconds)],
    )


@when("for {seconds:g} seconds others confirm {kinds}, as of {age:g} seconds before")
def others_confirm(context, seconds, kinds, age):
    updates, began_at = context.updates, boot_time_s()
    now = [began_at]
    clock = storeupdates.boot_time_s
    storeupdates.boot_time_s = lambda: now[0]
    context.add_cleanup(lambda: setattr(storeupdates, "boot_time_s", clock))
    # The gateway has run for long.
    updates.started_at = began_at - 100
    confirmed = updates.mirrors if kinds == "both kinds" else [kinds]
    while now[0] < began_at + seconds:
        items = [StoreState(kind=kind, age_ms=int(1000 * age)) for kind in confirmed]
        vouch = StoreVouch(node="g", stamp=int(1_000_000 * now[0]), items=items)
        updates.handle_confirmation(vouch, None)
        now[0] += ASK_INTERVAL_S


@then("the gateway watches {watched} itself")
def watches_kinds(context, watched):
    updates = context.updates
    found = {
        kind
        for kind, mirror in updates.mirrors.items()
        if updates.should_watch_kind(mirror)
    }
    wanted = {"neither kind": set(), "both kinds": set(updates.mirrors)}
    assert found == wanted.get(watched, {watched}), found
