"""Steps that play whole sessions and compare them with golden files."""

import difflib
import json
import os
import pathlib
import re

from behave import given, then, when
from helper import open_stream, run_module, send, wait_for

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "golden"
UPDATE = "BAOBABTURN_UPDATE_GOLDEN"
IGNORED_HEADERS = ("date", "content-length", "connection", "transfer-encoding")
ENDINGS = ("request-finished", "request-failed", "request-refused")
NUMBERED = (
    ("r", re.compile(r"\br-[0-9a-f]{16}\b")),
    ("g", re.compile(r"\bg-[0-9a-f]{16}-\d+\b")),
)
REPLACED = (
    (re.compile(r'"created": \d+'), '"created": 0'),
    (re.compile(r"(127\.0\.0\.\d+):\d+"), r"\1:PORT"),
    (re.compile(r"\b(queued_ms|claim)=\S+"), r"\1=X"),
    (re.compile(r"^id: .+\.(\d+)$", re.MULTILINE), r"id: TOKEN.\1"),
    (re.compile(r"\b([a-z]+)\.\d+:(\d+) "), r"\1.RUN:\2 "),
    (re.compile(r"revision \d+( by \S+)?"), "revision N"),
)


def normalised(text):
    """Return a transcript without what differs from run to run."""
    for letter, pattern in NUMBERED:
        known = {}
        text = pattern.sub(
            lambda found, known=known, letter=letter: known.setdefault(
                found[0], f"{letter}-{len(known) + 1}"
            ),
            text,
        )
    for pattern, replacement in REPLACED:
        text = pattern.sub(replacement, text)
    return text


class Session:
    """Plays a session on a fleet and writes it down."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lines = []

    def text(self):
        """Return the normalised transcript."""
        return normalised("\n".join(self.lines) + "\n")

    def request(self, number, path, key, body, headers):
        """Write a request down."""
        host = self.fleet.hosts[number].name
        self.lines.append(f"> POST {path} at {host} with {key or 'no key'}")
        self.lines.extend(f"> {name}: {value}" for name, value in headers.items())
        shown = body.decode() if isinstance(body, bytes) else json.dumps(body)
        self.lines.append(f"> {shown}")

    def answered(self, status, headers, text):
        """Write an answer down, then its time line."""
        self.lines.append(f"< {status}")
        for name, value in sorted(headers.items()):
            if name.lower() not in IGNORED_HEADERS:
                self.lines.append(f"< {name.lower()}: {value}")
        self.lines.extend(text.rstrip("\n").split("\n"))

    def post(self, number, path, key, body, **headers):
        """Send a request and write it down with its answer and time line."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.request(number, path, key, body, names)
        url = self.fleet.entry(number) + path
        answer = send(url, key=key, body=body, headers=names)
        self.answered(answer.status, answer.headers, answer.text)
        request = answer.headers.get("x-request-id")
        self.time_line(request or answer.error["request"])

    def stream(self, number, path, key, body):
        """Send a request and write its stream down with its time line."""
        self.request(number, path, key, body, {})
        opened = open_stream(self.fleet.entry(number) + path, key=key, body=body)
        text = opened.answer.read().decode()
        self.answered(opened.status, dict(opened.answer.getheaders()), text)
        self.time_line(opened.answer.headers["x-request-id"])

    def time_line(self, request):
        """Write the time line of a request down, once the request has ended."""
        logs = [str(path) for path in sorted(self.fleet.folder.glob("*@*.log"))]
        words = ("timeline", *logs, "--request", request)

        last = []

        def settled():
            """Return the printed lines once they have an end and grow no more."""
            printed = run_module("baobabturn.commands", *words).stdout.splitlines()
            names = {line.split()[2] for line in printed}
            same = printed == last
            last[:] = printed
            return printed if same and names & set(ENDINGS) else None

        self.lines.append("time line:")
        for line in wait_for(settled, "the end in the time line"):
            words_of_line = line.split()[1:]
            self.lines.append("  " + " ".join(words_of_line))
        self.lines.append("")

    def command(self, *arguments):
        """Run the operators' command and write it down with what it said."""
        shown = [pathlib.Path(word).name for word in arguments]
        self.lines.append("$ baobabturn " + " ".join(shown))
        settings = self.fleet.settings_path(self.fleet.hosts[0].name)
        done = run_module("baobabturn.commands", *arguments, "--settings", settings)
        said = (done.stdout + done.stderr).rstrip("\n")
        self.lines.extend([*said.split("\n"), f"exit code {done.returncode}", ""])
        return done


def season_summary(session):
    prompt = "Summarise the season of the north herd. [tag=summary length=8]"
    body = {"model": "rumia", "prompt": prompt, "stream": True}
    body["stream_options"] = {"include_usage": True}
    session.stream(0, "/v1/completions", "key-herders-north", body)


def finish_question(session):
    content = "Which calves are unmarked? [tag=question length=5]"
    body = {"model": "rumia", "messages": [{"role": "user", "content": content}]}
    session.post(1, "/v1/chat/completions", "key-buyers", body)


def tally_twice(session):
    for number in (0, 1):
        session.post(
            number,
            "/v1/services/corral/tally",
            "key-clerks",
            {"tag": "calf", "change": 1},
            Idempotency_Key="correction-1",
        )


def unknown_model(session):
    body = {"model": "nosuch", "prompt": "x"}
    session.post(0, "/v1/completions", "key-buyers", body)


def wrong_key(session):
    body = {"model": "rumia", "prompt": "x"}
    session.post(0, "/v1/completions", "key-of-nobody", body)


def malformed_body(session):
    for body in (b'{"model": "rumia", "prompt"', b"[1, 2]", b'{"model": "rumia"}'):
        session.post(0, "/v1/completions", "key-buyers", body)


def racing_operators(session):
    """Two operators start from one revision; the second to apply gets a conflict."""
    fleet = session.fleet
    declared = json.loads((fleet.folder / "configuration.json").read_text())
    paths = []
    for name, workspace, priority in (("one", "clerks", 7), ("two", "auditors", 9)):
        for space in declared["workspaces"]:
            if space["name"] == workspace:
                before, space["priority"] = space["priority"], priority
                path = fleet.folder / f"{name}.json"
                path.write_text(json.dumps(declared))
                space["priority"] = before
                paths.append(str(path))
    url = fleet.entry(0)
    settings = fleet.settings_path(fleet.hosts[0].name)
    status = run_module(
        "baobabturn.commands", "status", url, "--json", "--settings", settings
    )
    base = str(json.loads(status.stdout)["revision"])
    session.command("diff", paths[0])
    session.command("apply", paths[0], "--base", base)
    session.command("apply", paths[1], "--base", base)
    session.lines = [
        re.sub(r"--base \d+", "--base BASE", line) for line in session.lines
    ]


SESSIONS = {
    "season summary": season_summary,
    "finish question": finish_question,
    "tally correction twice": tally_twice,
    "unknown model": unknown_model,
    "wrong key": wrong_key,
    "malformed body": malformed_body,
    "racing operators": racing_operators,
}


@given("its pools are settled and their engines serve")
@then("its pools are settled and their engines serve")
def pools_settled(context):
    settings = context.fleet.settings_path(context.fleet.hosts[0].name)
    words = ("status", context.fleet.entry(0), "--pools", "--json")

    def settled():
        done = run_module("baobabturn.commands", *words, "--settings", settings)
        pools = json.loads(done.stdout)["pools"]
        states = {each["state"] for pool in pools for each in pool["endpoints"]}
        return all(pool["settled"] for pool in pools) and states == {"serving"}

    wait_for(settled, "settled pools")


@when('the session "{name}" is played')
def session_played(context, name):
    session = Session(context.fleet)
    SESSIONS[name](session)
    context.golden = FOLDER / f"{name.replace(' ', '-')}.txt"
    context.transcript = session.text()


@then("it reads as its golden file")
def reads_as_golden(context):
    if os.environ.get(UPDATE) == "1":
        context.golden.write_text(context.transcript)
    wanted = context.golden.read_text().splitlines()
    found = context.transcript.splitlines()
    different = difflib.unified_diff(wanted, found, "golden", "played", lineterm="")
    assert wanted == found, "\n".join(different)
