"""Steps of workspace keys and of what workspaces see of each other."""

import hashlib
import json
import threading
import time

from behave import given, then, when
from helper import open_stream, send, start_fleet, wait_for

NEW_KEY = "key-buyers-next"


@given('a shared "{name}" fleet for keys')
def keys_fleet(context, name):
    context.fleet = getattr(context.feature, "fleet", None)
    if context.fleet is None:
        start_fleet(context, name, True, hosts=2, engines=1, workers=1)
        context.feature.seen = []


def ask(context, key, tag="k", headers=None, body=None, path="/v1/completions"):
    made = {"model": "rumia", "prompt": f"[tag={tag} length=2]", "max_tokens": 2}
    answer = send(
        context.fleet.entry(0) + path, key=key, body=body or made, headers=headers
    )
    context.feature.seen.append((key, json.dumps(answer.headers) + answer.text))
    return answer


def sha(text):
    return hashlib.sha256(text.encode()).hexdigest()


CREDENTIALS = {
    "no header": {},
    "a key of nobody": {"Authorization": "Bearer nobody"},
    "an empty key": {"Authorization": "Bearer "},
    "the hash of a true key": {"Authorization": f"Bearer {sha('key-buyers')}"},
    "another scheme": {"Authorization": "Basic a2V5LWJ1eWVycw=="},
    "the operators' key": {"Authorization": "Bearer operator-key"},
    "a key of 20000 bytes": {"Authorization": "Bearer " + "k" * 20_000},
}


@when("a generation is asked for with {credentials}")
def ask_with(context, credentials):
    context.answer = ask(context, "", headers=CREDENTIALS[credentials])


@then('the refusal has code {code:d}, status {status:d} and run "{run}"')
def refusal(context, code, status, run):
    error = context.answer.error
    found = (error["code"], context.answer.status, error["run"])
    assert found == (code, status, run), context.answer


def change(context, edit):
    """Apply the declared configuration with some changes to its workspaces."""
    path = context.fleet.folder / "configuration.json"
    values = json.loads(path.read_text())
    edit({space["name"]: space for space in values["workspaces"]})
    path.write_text(json.dumps(values))
    settings = context.fleet.settings_path(context.fleet.hosts[0].name)
    context.fleet.command("apply", str(path), "--settings", settings)
    revisions = [0]
    wait_for(lambda: in_force(context, revisions), "the revision everywhere")


def in_force(context, revisions):
    found = [send(u + "/readyz", method="GET").body["revision"] for u in context.urls()]
    newest = max(found)
    revisions[0] = max(revisions[0], newest)
    return min(found) == revisions[0] and revisions[0] > context.revision


def apply_change(context, edit):
    """Apply a change and wait until every entry serves it."""
    context.urls = context.fleet.entries
    first = context.urls()[0] + "/readyz"
    context.revision = send(first, method="GET").body["revision"]
    change(context, edit)


def key_hashes(*keys):
    def edit(spaces):
        spaces["buyers"]["key_hashes"] = [sha(key) for key in keys]

    return edit


@when('"buyers" calls all the time while its key is rotated with both declared')
def rotate(context):
    context.refused = []
    context.key = "key-buyers"
    context.rotating = True

    def call_on():
        while context.rotating:
            for url in context.fleet.entries():
                answer = send(url + "/v1/models", key=context.key, method="GET")
                if answer.status != 200:
                    context.refused.append(answer)
            time.sleep(0.01)

    caller = threading.Thread(target=call_on)
    caller.start()
    apply_change(context, key_hashes("key-buyers", NEW_KEY))
    context.key = NEW_KEY
    time.sleep(0.3)
    apply_change(context, key_hashes(NEW_KEY))
    time.sleep(0.3)
    context.rotating = False
    caller.join()


@then("none of its calls was refused")
def none_refused(context):
    assert not context.refused, context.refused[:3]


@then("the old key is refused at every entry once it is taken out")
def old_refused(context):
    for url in context.fleet.entries():
        answer = send(url + "/v1/models", key="key-buyers", method="GET")
        assert answer.error["code"] == 1102, answer
    apply_change(context, key_hashes("key-buyers"))


@when('"{space}" may use no models and no services')
def use_nothing(context, space):
    def edit(spaces):
        spaces[space].update(models=[], services=[])

    apply_change(context, edit)
    context.key = f"key-{space}"


def shape(answer, name):
    """Return an answer without the name that was asked for and its request."""
    error = {**answer.error, "request": ""}
    return answer.status, json.dumps(error).replace(name, "?")


@then("its calls get the same answers for what others have and for what nobody has")
def same_answers_for(context):
    prompt = {"prompt": "[tag=none length=1]"}
    found = [
        shape(ask(context, context.key, body={**prompt, "model": name}), name)
        for name in ("rumia", "nomodel")
    ]
    paths = [f"/v1/services/{name}/checks" for name in ("corral", "noservice")]
    found += [
        shape(ask(context, context.key, body={"tag": "x"}, path=path), path[13:-7])
        for path in paths
    ]
    assert found[0] == found[1] and found[2] == found[3], found


@then("it lists no models")
def lists_none(context):
    url = context.fleet.entry(0) + "/v1/models"
    assert send(url, key=context.key, method="GET").body["data"] == []


@when('"{one}" and "{two}" post tally "{tag}" with the key "{key}"')
def post_both(context, one, two, tag, key):
    context.both = [
        ask(
            context,
            f"key-{space}",
            headers={"Idempotency-Key": key},
            body={"tag": tag},
            path="/v1/services/corral/tally",
        )
        for space in (one, two)
    ]


@then("both are served as calls of their own")
def both_served(context):
    marks = [
        (answer.status, answer.headers["x-baobabturn-replayed"])
        for answer in context.both
    ]
    assert marks == [(200, "false")] * 2, context.both
    assert context.fleet.counts("corral-1")["ran"]["shared"] == 2


@when('"{one}" has the token of a generation of "{two}"')
def has_token(context, one, two):
    body = {"model": "rumia", "prompt": "[tag=theirs length=400]", "stream": True}
    stream = open_stream(
        context.fleet.entry(0) + "/v1/completions", key=f"key-{two}", body=body
    )
    token = next(iter(stream.events())).id
    forged = token[:5] + ("A" if token[5] != "A" else "B") + token[6:]
    context.tokens = [
        shape(ask(context, f"key-{one}", headers={"Last-Event-ID": each}), token)
        for each in (token, forged, "x.1")
    ]
    stream.close()


@then("it gets the same answer as for a forged token")
def same_as_forged(context):
    assert len(set(context.tokens)) == 1, context.tokens
    assert '"code": 1008' in context.tokens[0][1], context.tokens


def long_prompt(context, space):
    before = context.fleet.counts("rumia-1")["cache_hits"]
    body = {"model": "rumia", "prompt": "[tag=long length=2]" + "ledger " * 600}
    assert ask(context, f"key-{space}", body=body).status == 200
    return context.fleet.counts("rumia-1")["cache_hits"] - before


@when('"{one}" and then "{two}" send one long prompt')
def prompts(context, one, two):
    context.hits = [long_prompt(context, one), long_prompt(context, two)]


@then("the engine's cache served the second of neither")
def no_hits(context):
    assert context.hits == [0, 0], context.hits


@when('"{space}" sends it again')
def prompt_again(context, space):
    context.hits = long_prompt(context, space)


@then("the engine's cache served it")
def some_hits(context):
    assert context.hits > 0


@then("the operators' paths refuse workspace keys and no key")
def operators_only(context):
    for path, method in (("events", "GET"), ("status", "GET"), ("drain", "POST")):
        for key in ("", "key-buyers"):
            url = f"{context.fleet.entry(0)}/admin/{path}"
            assert send(url, key=key, method=method).status in (401, 403), path


@then("no answer to a caller named another workspace")
def none_named(context):
    names = list(context.fleet.keys())
    assert len(context.feature.seen) > 15
    for key, text in context.feature.seen:
        for name in names:
            assert name not in text or key.startswith(f"key-{name}"), (key, text)
