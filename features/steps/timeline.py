"""Steps of the time line."""

import pathlib
import shlex
import tempfile
import xml.etree.ElementTree

import hypothesis
from behave import given, then, when
from helper import run_module
from hypothesis import strategies

from baobabturn.core.clock import HybridClock
from baobabturn.core.events import Event, EventLog
from baobabturn.timeline.merge import Wanted, merge, parse_lines

SVG = "{http://www.w3.org/2000/svg}"


@then("any text that an event carries is read back unchanged")
def read_back(context):
    @hypothesis.settings(derandomize=True, max_examples=300, database=None)
    @hypothesis.given(strategies.text(min_size=1), strategies.text(min_size=1))
    def check(first, second):
        events = event_log("a-1", HybridClock())
        events.emit(Event.REQUEST_FAILED, reason=first, workspace=second)
        (line,) = parse_lines(events.ring[0] + "\n")
        assert line.fields["reason"] == first
        assert line.fields["workspace"] == second

    check()


def event_log(node, clock):
    return EventLog(node=node, role="entry", failure_domain="a", clock=clock)


@given("logs of two processes, the second with its wall clock {seconds:d} s behind")
def two_logs(context, seconds):
    context.clocks = [
        HybridClock(wall=lambda: 1_000_000),
        HybridClock(wall=lambda: 1_000_000 - seconds * 1000),
    ]
    context.logs = [
        event_log(node, clock)
        for node, clock in zip(("a-1", "b-1"), context.clocks, strict=True)
    ]


@when("the first sends and the second answers, {times:d} times")
def send_and_answer(context, times):
    (first, second), (sender, answerer) = context.clocks, context.logs
    for _ in range(times):
        sender.emit(Event.ATTEMPT_SENT)
        second.observe(first.now())
        answerer.emit(Event.REQUEST_GRANTED)
        first.observe(second.now())


@then("the time line has send and answer in turn")
def in_turn(context):
    texts = [line for log in reversed(context.logs) for line in log.ring]
    found = merge(parse_lines("\n".join(texts)), Wanted())
    names = [line.fields["event"] for line in found]
    assert names == ["attempt-sent", "request-granted"] * 3, names


@given("a log")
def a_log(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log = pathlib.Path(folder.name) / "entry.log"
    context.log.write_text(context.text)
    context.page = context.log.with_suffix(".html")


@then('the time line with "{options}" has the stamps "{stamps}"')
def has_stamps(context, options, stamps):
    words = shlex.split(options)
    done = run_module("baobabturn.commands", "timeline", str(context.log), *words)
    assert done.returncode == 0, done.stderr
    found = [line.split()[0] for line in done.stdout.splitlines()]
    assert found == stamps.split(), done.stdout


@then('the time line with "" has the stamps "{stamps}"')
def has_all_stamps(context, stamps):
    has_stamps(context, "", stamps)


@then('the time line with "{options}" has the stamps ""')
def has_no_stamps(context, options):
    has_stamps(context, options, "")


@when("its picture is written")
def picture_written(context):
    picture_written_to(context, str(context.page))
    assert context.done.returncode == 0, context.done.stderr


@when('its picture is written to "{path}"')
def picture_written_to(context, path):
    context.done = run_module(
        "baobabturn.commands", "timeline", str(context.log), "--html", path
    )


def drawing(context):
    """Return the drawing in the page, read as XML."""
    text = context.page.read_text()
    start, end = text.index("<svg"), text.index("</svg>") + len("</svg>")
    return xml.etree.ElementTree.fromstring(text[start:end])


@then('the picture has the lanes "{names}"')
def has_lanes(context, names):
    found = drawing(context)
    lanes = found.findall("line[@class='lane']")
    texts = [text.text for text in found.findall("text")]
    assert len(lanes) == len(names.split())
    assert texts[: len(lanes)] == names.split(), texts


@then("the picture has {events:d} events and {steps:d} step from one to the next")
def has_events(context, events, steps):
    found = drawing(context)
    assert len(found.findall("circle")) == events
    assert len(found.findall("path[@class='step']")) == steps


@then("the picture is well formed and names no other resource")
def no_resources(context):
    text = context.page.read_text()
    drawing(context)
    for word in ("http:", "https:", "src=", "href", "url(", "@import", "<script"):
        assert word not in text, word


@then('"{text}" stands in it as text')
def stands_as_text(context, text):
    assert text not in context.page.read_text()
    titles = [title.text for title in drawing(context).iter("title")]
    assert any(text in title for title in titles), titles
