"""Steps on what the fault soak plays and checks, without processes."""

import asyncio
import hashlib
import json
import pathlib
import random
import time

from behave import given, then, when

from fakes.rawhttp import Request
from fakes.siteconfig import ENGINE_SERVICE, PLAIN_SERVICE
from features.steps.gateway import run
from soak.faults import domain_returns_cold, drawn_faults
from soak.invariants import InvariantChecker
from soak.main import Soak
from soak.site import COLD_S, FIRST_SEED_OF_COLD_RETURNS, SoakSite

# Written on the code before the first change of the soak that is compared here.
SHAPES = pathlib.Path(__file__).resolve().parent.parent / "golden" / "soak-seeds.txt"
DRAWS = 20
FOLDER = pathlib.Path("/nonexistent")


def shape(seed):
    """Return what a seed determines before time has an influence, as one line."""
    soak = Soak(seed=seed, folder=FOLDER)
    site = soak.site
    site.write_configuration()
    draws = [site.rng.random() for _ in range(DRAWS)]
    document = json.dumps(site.newest_document, sort_keys=True)
    fields = {
        "hosts": site.host_count,
        "domains": site.domain_count,
        "options": json.dumps(site.gateway_options(), sort_keys=True),
        "configuration": digest(document),
        "draws": digest(repr(draws)),
        "callers": digest(repr(soak.caller_kinds())),
        "faults": ",".join(drawn_faults(seed)),
    }
    return " ".join(f"{name}={value}" for name, value in fields.items())


def digest(text):
    """Return a short digest of a text."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@then("each recorded seed has its hosts, faults, callers, configuration and draws")
def shapes_kept(context):
    for line in SHAPES.read_text().splitlines():
        seed, _, recorded = line.partition(" ")
        found = shape(int(seed))
        assert found == recorded, (seed, found, recorded)


@then('seed {first:d} draws from "{fault}", and seed {second:d} doesn\'t')
def draws_from(context, first, second, fault):
    assert fault in drawn_faults(first)
    assert fault not in drawn_faults(second)


@then("seeds {first:d} to {last:d} have {count:d} failure domains or more")
def has_domains(context, first, last, count):
    for seed in range(first, last + 1):
        domains = Soak(seed=seed, folder=FOLDER).site.domain_count
        assert domains >= count, (seed, domains)


@given(
    "a soak site of {domains:d} failure domains with {count:d} endpoints of each"
    " service"
)
@given(
    "a soak site of {domains:d} failure domains with {count:d} endpoint of each service"
)
def soak_site(context, domains, count):
    site = SoakSite(
        seed=FIRST_SEED_OF_COLD_RETURNS,
        folder=FOLDER,
        host_count=0,
        domain_count=domains,
    )
    context.site = site

    async def play():
        for service in (PLAIN_SERVICE, ENGINE_SERVICE):
            for _ in range(count):
                await site.add_endpoint(service)

    run(context, asyncio.sleep(0))
    context.add_cleanup(lambda: run(context, site.stop()))
    run(context, play())


@when("a failure domain returns cold")
def returns_cold(context):
    # This draw is failure domain z0, without a notice.
    context.site.rng = random.Random(3)
    context.before = set(context.site.endpoints)
    run(context, domain_returns_cold(context.site, 0.1))


@then(
    "{count:d} endpoints are gone, and as many are back in their failure domain, cold"
)
def back_again(context, count):
    site = context.site
    gone = {name: site.endpoints[name] for name in site.crashed}
    back = {
        name: each
        for name, each in site.endpoints.items()
        if name not in context.before
    }
    assert len(gone) == len(back) == count, (list(gone), list(back))
    for group in (gone, back):
        assert len({each.failure_domain for each in group.values()}) == 1, group
    services = [sorted(e.service for e in group.values()) for group in (gone, back)]
    assert services[0] == services[1], services
    domains = {each.failure_domain for each in [*gone.values(), *back.values()]}
    assert len(domains) == 1, domains
    now = time.monotonic()
    for each in back.values():
        assert 0 < each.cold_until - now <= COLD_S, each.cold_until - now
    context.back = back


@then("their entries say so")
def entries_say(context):
    objects = context.site.store.objects["servers"]
    for name in context.back:
        left_ms = objects[name]["spec"]["coldLeftMs"]
        assert 0.9 * COLD_S < left_ms / 1000 <= COLD_S, left_ms


@then("nothing is gone")
def nothing_gone(context):
    assert not context.site.crashed and set(context.site.endpoints) == context.before


@when('a cold endpoint of "{service}" gets {count:d} requests within {seconds:g} s')
def cold_gets(context, service, count, seconds, cold_s=COLD_S):
    site = context.site
    name = next(n for n, each in site.endpoints.items() if each.service == service)
    endpoint, now = site.endpoints[name], time.monotonic()
    endpoint.cold_until = now + cold_s
    for number in range(count):
        request = Request(method="GET", target="/read/x", headers={}, body=b"")
        request.arrived_at = now + seconds * number / (count - 1)
        endpoint.ran.append(request)


@when(
    'a cold endpoint of "{service}" gets {count:d} requests within {seconds:g} s,'
    " when it is warm"
)
def warm_gets(context, service, count, seconds):
    cold_gets(context, service, count, seconds, cold_s=0.0)


@then("{found} is found")
def found_faults(context, found):
    checker = InvariantChecker(site=context.site, sent_requests=[])
    checker.check_cold_endpoints()
    wanted = {"nothing": 0, "one fault": 1}[found]
    assert len(checker.violations) == wanted, checker.violations
