"""Steps of TLS between processes and towards callers."""

import asyncio
import datetime
import http.client
import ipaddress
import json
import os
import pathlib
import socket
import ssl
import subprocess
import sys
import tempfile
import time

import attrs
from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from helper import ROOT, wait_for
from linkcase import Case, identity

from baobabturn.core.clock import HybridClock
from baobabturn.core.results import Failure
from baobabturn.settings.load import load
from baobabturn.wire.client import LinkClient
from baobabturn.wire.messages import Ack, StatsRequest
from baobabturn.wire.server import LinkServer

DAY = datetime.timedelta(days=1)


def name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def builder(subject, issuer, key):
    now = datetime.datetime.now(datetime.UTC)
    made = x509.CertificateBuilder().subject_name(name(subject))
    made = made.issuer_name(name(issuer)).public_key(key.public_key())
    made = made.serial_number(x509.random_serial_number())
    return made.not_valid_before(now - DAY).not_valid_after(now + DAY)


def write(path, *items):
    data = b""
    for item in items:
        if isinstance(item, x509.Certificate):
            data += item.public_bytes(serialization.Encoding.PEM)
        else:
            data += item.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
    path.write_bytes(data)
    return str(path)


def authority(folder, label):
    """Write an authority's certificate, and one with its key for 127.0.0.1."""
    top = ec.generate_private_key(ec.SECP256R1())
    made = builder(label, label, top)
    made = made.add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
    ca = made.sign(top, hashes.SHA256())
    key = ec.generate_private_key(ec.SECP256R1())
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    made = builder(f"host of {label}", label, key)
    made = made.add_extension(x509.SubjectAlternativeName([address]), False)
    leaf = made.sign(top, hashes.SHA256())
    return {
        "tls_ca": write(folder / f"{label}-ca.pem", ca),
        "tls_cert": write(folder / f"{label}.pem", leaf),
        "tls_key": write(folder / f"{label}.key", key),
    }


@given('certificates of authority "{one}" and of authority "{two}"')
def certificates(context, one, two):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    context.authorities = {each: authority(context.folder, each) for each in (one, two)}


def inner(context, label):
    settings = load(None, None).settings.inner
    return attrs.evolve(settings, **context.authorities.get(label, {}))


def tls_case(context, label):
    case = Case()
    case.server = LinkServer(
        identity=identity("server"),
        inner=inner(context, label),
        clock=HybridClock(),
        handlers={StatsRequest: lambda link, body: Ack(revision=7)},
    )
    return case


def tls_client(context, case, label):
    return LinkClient(
        address="127.0.0.1",
        port=case.port,
        identity=identity("client"),
        inner=inner(context, label),
        clock=HybridClock(),
    )


async def open_and_ask(client):
    link = await client.open()
    if isinstance(link, Failure):
        return link
    task = asyncio.create_task(link.serve({}))
    answer = await link.call(StatsRequest(kind="metrics"))
    link.close()
    await task
    return answer


def open_link(context, client_label, server_label):
    case = tls_case(context, server_label)

    async def work(case):
        return await open_and_ask(tls_client(context, case, client_label))

    context.opened = asyncio.run(case.run(work))


@when('a client with a certificate of "{one}" opens a link to a server of "{two}"')
def open_with(context, one, two):
    open_link(context, one, two)


@when('a client without a certificate opens a link to a server of "{two}"')
def open_without(context, two):
    open_link(context, "", two)


@when('a client with a certificate of "{one}" opens a link to a server without one')
def open_to_plain(context, one):
    open_link(context, one, "")


@then("the link is served")
def link_served(context):
    assert isinstance(context.opened, Ack) and context.opened.revision == 7


@then("the link is refused with code {code:d}")
def link_refused(context, code):
    assert isinstance(context.opened, Failure), context.opened
    assert context.opened.code == code, context.opened


@when('{count:d} connections to a server of "{label}" send nothing')
def silent_connections(context, count, label):
    case = tls_case(context, label)

    async def work(case):
        began = time.monotonic()
        silent = [case.raw() for _ in range(count)]
        closing = asyncio.gather(*silent)
        await asyncio.sleep(0.1)
        answer = await open_and_ask(tls_client(context, case, label))
        return answer, await closing, time.monotonic() - began

    context.silent = asyncio.run(case.run(work))


@then("they are closed within {seconds:g} s and a true client is served meanwhile")
def silent_closed(context, seconds):
    answer, closed, took = context.silent
    assert isinstance(answer, Ack) and all(closed) and took < seconds, context.silent


@when('an entry runs with a certificate of "{label}"')
def entry_with_tls(context, label):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        context.port = probe.getsockname()[1]
    files = context.authorities[label]
    values = {
        "host": {"address": "127.0.0.1"},
        "ports": {"entry": context.port, "scheduler": 1, "controller": 1},
        "entry": {"tls_cert": files["tls_cert"], "tls_key": files["tls_key"]},
    }
    path = context.folder / "settings.jsonc"
    path.write_text(json.dumps(values))
    process = subprocess.Popen(
        [sys.executable, "-m", "baobabturn.entry", "--settings", str(path)],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)
    wait_for(lambda: healthy(context, label), "the entry")


def healthy(context, label):
    """Return whether a caller that trusts an authority gets an answer."""
    trust = ssl.create_default_context(cafile=context.authorities[label]["tls_ca"])
    connection = http.client.HTTPSConnection(
        "127.0.0.1", context.port, context=trust, timeout=5
    )
    try:
        connection.request("GET", "/healthz")
        return connection.getresponse().read() == b"ok\n"
    except ConnectionRefusedError:
        return False
    finally:
        connection.close()


@then('a caller that trusts "{label}" is answered over HTTPS')
def answered(context, label):
    assert healthy(context, label)


@then('a caller that trusts "{label}" refuses the entry')
def refuses(context, label):
    try:
        healthy(context, label)
    except ssl.SSLCertVerificationError:
        return
    raise AssertionError("the certificate was taken")


@then("a caller without TLS gets no answer")
def no_answer(context):
    connection = http.client.HTTPConnection("127.0.0.1", context.port, timeout=5)
    try:
        connection.request("GET", "/healthz")
        connection.getresponse()
    except (http.client.HTTPException, OSError):
        return
    finally:
        connection.close()
    raise AssertionError("an answer came without TLS")
