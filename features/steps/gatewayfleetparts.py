"""Steps on what hundreds of gateways know of parts of prompts that crash engines."""

from behave import then, when

from baobabturn.quarantine.evidence import request_suspect

BAD_PART, SHARED_PART = "bad", "shared"
MS_PER_S = 1000


@when("a tenth of all datagrams gets lost")
def losses(context):
    context.fleet.loss_ratio = 0.1


@when(
    "{count:d} gateways see an engine crash under one part, {interval_s:g} seconds"
    " apart"
)
def crashes_seen(context, count, interval_s):
    fleet = context.fleet
    running = fleet.running()
    for number in range(count):
        gateway = running[number * len(running) // count]
        gateway.ledger.count_answer(SHARED_PART)
        changed = gateway.ledger.record_crash(
            f"e{number}",
            [SHARED_PART, BAD_PART],
            stamp_ms=int(fleet.clock() * MS_PER_S),
        )
        gateway.part_news.publish(changed)
        fleet.deliver()
        fleet.pass_time(interval_s)


@when("the gateway {number:d} hears nobody")
def deaf(context, number):
    gateways = context.fleet.gateways
    gateways[number].deaf_to = {each.address for each in gateways}


@when("the gateway {number:d} hears all others again")
def hears_again(context, number):
    context.fleet.gateways[number].deaf_to = set()


@when("a gateway sees an answer to a prompt with that part")
def answer_seen(context):
    fleet = context.fleet
    gateway = fleet.gateways[0]
    changed = gateway.ledger.record_answer(
        [SHARED_PART, BAD_PART], began_at=fleet.clock()
    )
    gateway.part_news.publish(changed)
    fleet.deliver()


@then("all gateways refuse that part and no other")
def all_refuse(context):
    running = context.fleet.running()
    lacking = [each.name for each in running if not each.ledger.remaining_s([BAD_PART])]
    assert not lacking, (len(lacking), lacking[:10])
    wrong = [each.name for each in running if each.ledger.remaining_s([SHARED_PART])]
    assert not wrong, (len(wrong), wrong[:10])


@then("no gateway refuses that part")
def none_refuses(context):
    running = context.fleet.running()
    refusing = [each.name for each in running if each.ledger.remaining_s([BAD_PART])]
    assert not refusing, (len(refusing), refusing[:10])


REQUEST = request_suspect("d1")
TRIAL_S = 2.0
STEP_S = 0.6


def crash_request(fleet, gateway, number):
    """Let a gateway see an endpoint crash under the request."""
    changed = gateway.ledger.record_crash(
        f"w{number}", [REQUEST], stamp_ms=int(fleet.clock() * MS_PER_S)
    )
    gateway.part_news.publish(changed)
    fleet.deliver()


@when("{count:d} gateways see an endpoint crash under one request")
def request_crashes(context, count):
    fleet = context.fleet
    for number in range(count):
        crash_request(fleet, fleet.running()[-1 - number], number)
        fleet.pass_time(2 * STEP_S)


@then("the request is a suspect at all gateways, and on trial at none")
def is_suspect(context):
    for gateway in context.fleet.running():
        assert gateway.ledger.are_suspect([REQUEST]), gateway.name
        assert not gateway.ledger.is_on_trial(REQUEST), gateway.name
        assert not gateway.ledger.remaining_s([REQUEST]), gateway.name


@when("a gateway tries it")
def request_tried(context):
    context.trying = context.fleet.running()[0]
    context.trying.ledger.begin_trial(REQUEST, TRIAL_S)
    context.trying.part_news.publish([REQUEST])
    context.fleet.deliver()


@then("the request is on trial at all gateways")
def on_trial(context):
    lacking = [
        each.name
        for each in context.fleet.running()
        if not each.ledger.is_on_trial(REQUEST)
    ]
    assert not lacking, (len(lacking), lacking[:10])


@when("the trial ends with {outcome}")
def trial_ends(context, outcome):
    fleet, gateway = context.fleet, context.trying
    fleet.clock.now += 0.1
    if outcome == "a crash":
        crash_request(fleet, gateway, 9)
    else:
        changed = gateway.ledger.record_answer([REQUEST], began_at=fleet.clock())
        gateway.part_news.publish(changed)
        fleet.deliver()


@then("the request is {state} at all gateways")
def state_everywhere(context, state):
    for gateway in context.fleet.running():
        ledger = gateway.ledger
        is_refused = ledger.remaining_s([REQUEST]) > 0
        assert is_refused == (state == "refused"), gateway.name
        assert not ledger.is_on_trial(REQUEST), gateway.name
        assert is_refused or not ledger.are_suspect([REQUEST]), gateway.name
