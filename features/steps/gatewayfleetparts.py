"""Steps on what hundreds of gateways know of parts of prompts that crash engines."""

from behave import then, when

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
