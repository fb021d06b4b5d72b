"""Steps of fair shares and limits."""

from behave import given, then, when

from baobabturn.config.declared import Workspace
from baobabturn.core.results import Code
from baobabturn.scheduler.fairness import TOKEN_WINDOW_S, FairShares, WorkspaceLimits

NOW = 1000.0


@given(
    'workspaces "{a}" of weight {one:g} and "{b}" of weight {two:g} that always wait'
)
def step_workspaces(context, a, one, b, two):
    context.weights = {a: one, b: two}
    context.shares = FairShares()
    context.given = dict.fromkeys(context.weights, 0)


def give(context, names, tokens):
    name = min(names, key=context.shares.virtual_time_of)
    context.shares.charge(name, tokens, context.weights[name])
    context.given[name] += 1


@when("{count:d} places of {tokens:d} tokens each are given in fair order")
def step_give(context, count, tokens):
    context.given = dict.fromkeys(context.weights, 0)
    for name in context.weights:
        context.shares.add_waiting(name)
    for _ in range(count):
        give(context, context.weights, tokens)


@when('only "{name}" waits while {count:d} places of {tokens:d} tokens are given')
def step_alone(context, name, count, tokens):
    context.shares.add_waiting(name)
    for _ in range(count):
        give(context, [name], tokens)
    context.shares.remove_waiting(name)


@then('"{name}" has between {low:d} and {high:d} of them')
def step_has(context, name, low, high):
    assert low <= context.given[name] <= high, context.given


@given("the limits of a workspace with {count:d} concurrent requests")
def step_requests(context, count):
    context.space = Workspace(name="w", concurrent_requests=count)
    context.limits = WorkspaceLimits()


@given("the limits of a workspace with {count:d} tokens a minute")
def step_tokens(context, count):
    context.space = Workspace(name="w", tokens_per_minute=count)
    context.limits = WorkspaceLimits()


@when("{count:d} of its requests are in progress")
def step_begin(context, count):
    for _ in range(count):
        context.limits.request_started("w")


@when("{count:d} second attempts are in progress")
def step_second(context, count):
    for number in range(count):
        context.limits.request_started("w", f"hedged-{number}")


@when("{count:d} of its requests ends after {tokens:d} tokens")
def step_end(context, count, tokens):
    for _ in range(count):
        context.limits.request_ended("w", tokens, NOW)


@then('the next one is refused with "{code}"')
def step_refused(context, code):
    context.refusal = context.limits.refusal(context.space, NOW)
    assert context.refusal is not None and context.refusal.code is Code[code]


@then('the next one is refused with "{code}" and when to come back')
def step_come_back(context, code):
    step_refused(context, code)
    assert 0 < context.refusal.retry_after_s <= TOKEN_WINDOW_S


@then("the next one is let in")
def step_let_in(context):
    assert context.limits.refusal(context.space, NOW) is None


@then("after a minute the next one is let in")
def step_later(context):
    later = NOW + TOKEN_WINDOW_S + 0.1
    assert context.limits.refusal(context.space, later) is None
