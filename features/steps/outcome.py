"""Steps of the outcome table and the retry budget."""

import asyncio
import socket

import aiohttp
from behave import given, then

from baobabturn.core.results import Code, Failure, Run
from baobabturn.entry.outcome import (
    failure_from_exception,
    may_restart,
    may_retry,
    with_run_state,
)
from baobabturn.entry.retries import RetryBudget

WORDS = {"yes": True, "no": False}


def outline(context):
    row = context.active_outline
    return with_run_state(Failure(Code(int(row["code"]))), int(row["tokens"]))


@then('it is "{run}", a retry of any call is {any_call}, of a repeatable one {repeat}')
def row_of(context, run, any_call, repeat):
    failure = outline(context)
    assert failure.run.value == run, failure
    assert may_retry(failure, repeatable=False) is WORDS[any_call]
    assert may_retry(failure, repeatable=True) is WORDS[repeat]


@then("a generation may begin anew where its caller accepts it: {restart}")
def restart_of(context, restart):
    assert may_restart(outline(context)) is WORDS[restart]


async def attempt(url, **limits):
    """Return the failure of a call to a URL."""
    timeout = aiohttp.ClientTimeout(**limits)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.post(url, data=b"x") as answer:
                await answer.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return failure_from_exception(error)
    return None


def listening(backlog=5):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(backlog)
    return listener, f"http://127.0.0.1:{listener.getsockname()[1]}/"


async def closing(reader, writer):
    await reader.read(10)
    writer.close()


async def lost_answer():
    server = await asyncio.start_server(closing, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        return await attempt(f"http://127.0.0.1:{port}/", total=5)


@then('a refused connection is "not-run" and a lost answer is "unknown"')
def refused_and_lost(context):
    listener, url = listening()
    listener.close()
    refused = asyncio.run(attempt(url, total=5))
    assert (refused.code, refused.run) == (Code.CONNECT_FAILED, Run.NOT_RUN)
    lost = asyncio.run(lost_answer())
    assert (lost.code, lost.run) == (Code.OUTCOME_UNKNOWN, Run.UNKNOWN)


@then('a connect that takes too long is "not-run" and a slow answer "unknown"')
def slow_connect(context):
    listener, url = listening(0)
    slow = asyncio.run(attempt(url, total=0.5))
    assert (slow.code, slow.run) == (Code.OUTCOME_UNKNOWN, Run.UNKNOWN)
    fillers = []
    for _ in range(4):
        each = socket.socket()
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
        fillers.append(each)
    unconnected = asyncio.run(attempt(url, sock_connect=0.3))
    assert (unconnected.code, unconnected.run) == (Code.CONNECT_FAILED, Run.NOT_RUN)
    for each in (*fillers, listener):
        each.close()


@given("a budget of one retry in ten requests")
def budget(context):
    context.budget = RetryBudget(share=0.1)


@then("an endpoint gets 3 retries at first and then one for ten requests")
def spend(context):
    taken = [context.budget.try_spend("e") for _ in range(5)]
    assert taken == [True, True, True, False, False]
    for _ in range(11):
        context.budget.record_request("e")
    assert [context.budget.try_spend("e") for _ in range(2)] == [True, False]
