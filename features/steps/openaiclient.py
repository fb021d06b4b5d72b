"""Steps of the unmodified openai client."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import openai
from behave import given, then, when
from helper import token_indexes, wait_for

from baobabturn.core.results import Code, Failure
from baobabturn.entry.responses import error_body, error_headers

ENGINE = "rumia-1"


def client_of(context, key, **options):
    """Return a client that counts the requests that it sends."""
    context.sent = []
    hooks = {"request": [context.sent.append]}
    http = openai.DefaultHttpxClient(event_hooks=hooks)
    context.add_cleanup(http.close)
    url = context.fleet.entry(0) + "/v1"
    return openai.OpenAI(base_url=url, api_key=key, http_client=http, **options)


def ask(client, kind, tag, length, **options):
    """Ask for a generation in the way of its kind."""
    prompt = f"[tag={tag} length={length}]"
    if kind == "completions":
        return client.completions.create(model="rumia", prompt=prompt, **options)
    messages = [{"role": "user", "content": prompt}]
    return client.chat.completions.create(model="rumia", messages=messages, **options)


def caught(context, work):
    """Run work and keep the client's error."""
    context.error = None
    try:
        work()
    except openai.OpenAIError as error:
        context.error = error


@given('the openai client of "{workspace}"')
def openai_client(context, workspace):
    context.client = client_of(context, f"key-{workspace}")


@given("the engine cuts its streams after {count:d} tokens")
def engine_cuts(context, count):
    context.fleet.control(ENGINE, cut_after=count)
    context.add_cleanup(context.fleet.control, ENGINE, cut_after=-1)


@then('the client lists the model "{name}"')
def lists_model(context, name):
    assert [model.id for model in context.client.models.list()] == [name]


@when('the client asks for {kind} of "{tag}" with {length:d} tokens')
def asks_whole(context, kind, tag, length):
    answer = ask(context.client, kind, tag, length)
    choice = answer.choices[0]
    text = choice.text if kind == "completions" else choice.message.content
    context.texts = text.split()
    context.finish = choice.finish_reason
    context.usage = answer.usage


@when('the client streams {kind} of "{tag}" with {length:d} tokens')
def streams_plain(context, kind, tag, length):
    streams(context, kind, tag, length, {})


@when('the client streams {kind} of "{tag}" with {length:d} tokens and {option}')
def streams_option(context, kind, tag, length, option):
    name, _, value = option.partition("=")
    streams(context, kind, tag, length, {name: json.loads(value)})


def streams(context, kind, tag, length, options):
    context.texts, context.chunks = [], []

    def read():
        for chunk in ask(context.client, kind, tag, length, stream=True, **options):
            context.chunks.append(chunk)
            if not chunk.choices:
                continue
            choice = chunk.choices[0]
            text = choice.text if kind == "completions" else choice.delta.content
            if text:
                context.texts.append(text)
            context.finish = choice.finish_reason

    caught(context, read)


@then('the text has the tokens 0 to {last:d} of "{tag}" and ended with "{finish}"')
def text_has(context, last, tag, finish):
    assert token_indexes(context.texts, tag) == list(range(last + 1)), context.texts
    assert context.finish == finish, context.finish


@then("the usage has {count:d} completion tokens and adds up")
def usage_has(context, count):
    usage = context.usage
    assert usage.completion_tokens == count, usage
    assert usage.prompt_tokens + count == usage.total_tokens, usage


@when('the client with key "{key}" asks for {body}')
def client_asks(context, key, body):
    client = client_of(context, key)
    values = eval(f"dict({body})")  # the feature file's own words
    caught(context, lambda: client.completions.create(**values))


@then('it raises {kind} with status {status:d}, code {code:d} and run "{run}"')
def raises_typed(context, kind, status, code, run):
    error = context.error
    assert type(error) is getattr(openai, kind), repr(error)
    assert error.status_code == status, error.status_code
    assert error.body["code"] == code and error.body["run"] == run, error.body


@then('the error\'s response has the header "{name}" of "{value}"')
def error_header(context, name, value):
    assert context.error.response.headers[name] == value


@then("one request was sent")
def one_request(context):
    assert len(context.sent) == 1, context.sent


@when("a failure of a workspace's request limit is answered to the client")
def limit_answered(context):
    failure = Failure(Code.REQUEST_LIMIT, "3 are in use", retry_after_s=1.2)

    class Handler(BaseHTTPRequestHandler):
        def do_POST(self):
            body = json.dumps(error_body(failure)).encode()
            self.send_response(failure.status)
            for name, value in error_headers(failure):
                self.send_header(name.decode(), value.decode())
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    with HTTPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.handle_request)
        thread.start()
        url = f"http://127.0.0.1:{server.server_port}/v1"
        client = openai.OpenAI(base_url=url, api_key="key")
        caught(context, lambda: ask(client, "completions", "x", 1))
        thread.join()


@when(
    'the client with a time-out of {limit:g} s asks for "{tag}" with {length:d} tokens'
)
def client_with_limit(context, limit, tag, length):
    client = client_of(context, "key-buyers", timeout=limit, max_retries=0)
    caught(context, lambda: ask(client, "completions", tag, length))


@then("it raises {kind} by itself")
def raises_kind(context, kind):
    assert type(context.error) is getattr(openai, kind), repr(context.error)


@when(
    'the client reads {count:d} tokens of a stream of "{tag}"'
    " with {length:d} tokens and closes it"
)
def reads_and_closes(context, count, tag, length):
    stream = ask(context.client, "completions", tag, length, stream=True)
    for _ in range(count):
        next(stream)
    stream.close()


@then("the engine soon has no open generation")
def engine_idle(context):
    wait_for(lambda: not context.fleet.counts(ENGINE)["open"], "the cancellation")


@then('it raises {kind} with code {code:d} and run "{run}" after {count:d} tokens')
def raises_in_stream(context, kind, code, run, count):
    error = context.error
    assert type(error) is getattr(openai, kind), repr(error)
    assert error.body["code"] == code and error.body["run"] == run, error.body
    assert error.body["tokens"] == count == len(context.texts), error.body


@then("the last chunk has no choices and usage of {count:d} completion tokens")
def last_usage(context, count):
    last = context.chunks.pop()
    assert last.choices == [], last
    context.usage = last.usage
    usage_has(context, count)


@then("no other chunk has usage")
def no_other_usage(context):
    assert not [chunk for chunk in context.chunks if chunk.usage], context.chunks


@then("no chunk has usage or no choices")
def no_usage(context):
    found = [chunk for chunk in context.chunks if chunk.usage or not chunk.choices]
    assert context.chunks and not found, found
