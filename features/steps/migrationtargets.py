"""Steps that ask for the target of a migration, with no network."""

import collections
import time
import types

from behave import given, then, when

from baobabturn.config.declared import Endpoint
from baobabturn.gateway.migrationtargets import MigrationTargets
from baobabturn.gateway.pools import HeldReservation
from baobabturn.placement.homes import ANY_REGION, DomainRegions
from baobabturn.wire.messages import Holding, Release
from baobabturn.wire.words import FINISHED
from features.steps.policy import make_pool

MEMORY_TOKENS = 40_000
SLOTS = 24
DOMAIN_COUNT = 3


class PoolsStub:
    """One pool with engines, without a network."""

    def __init__(self, pool, domains):
        self.pools = {"p": pool}
        self.domains = domains
        self.regions = DomainRegions(by_domain={})
        self.program = types.SimpleNamespace(
            clock=types.SimpleNamespace(now=time.monotonic_ns)
        )
        self.count = 0

    def failure_domain_of(self, name):
        """Return an engine's failure domain."""
        return self.domains[name]

    def reservation_name(self, request):
        """Return a new name for a reservation of a request."""
        self.count += 1
        return f"g/{self.count}/{request.request_id}"

    def record_reservation(self, reservation):
        """Return the reservation; there is nobody to publish it to."""
        return reservation


def holding_of(name, endpoint):
    return Holding(
        reservation=name,
        endpoint=endpoint,
        workspace="w",
        model="m",
        kind="k",
        prompt_tokens=3000,
        produced=100,
        max_tokens=1000,
    )


def hold(context, request, endpoint, prefix="h/0"):
    holding = holding_of(f"{prefix}/{request}", endpoint)
    context.pool.hold(None, holding, watched=False)
    return HeldReservation(pool="p", holding=holding)


def move(context, reservation):
    request_id = reservation.holding.reservation.split("/", 2)[-1]
    request = types.SimpleNamespace(request_id=request_id, homes=ANY_REGION)
    return context.targets.reserve(request, reservation, set())


def leave(context, name):
    context.pool.state.endpoints[name].leaving = True


@given(
    "{count:d} engines in 3 failure domains, each with 3 generations of all gateways"
)
def step_engines(context, count):
    context.pool = make_pool()
    context.pool.schedule_dispatch = lambda: None
    names = [f"e{number}" for number in range(count)]
    declared = [
        Endpoint(
            name=name,
            url=f"http://{name}",
            memory_tokens=MEMORY_TOKENS,
            concurrency=SLOTS,
        )
        for name in names
    ]
    context.pool.set_endpoints(declared, set())
    domains = {name: f"z{n % DOMAIN_COUNT}" for n, name in enumerate(names)}
    context.stub = PoolsStub(context.pool, domains)
    context.targets = MigrationTargets(pools=context.stub)
    context.held = {
        name: [hold(context, f"{name}-{number}", name) for number in range(3)]
        for name in names
    }


@given("the last {count:d} of them have none")
def step_empty(context, count):
    for name in list(context.held)[-count:]:
        for reservation in context.held.pop(name):
            release = Release(
                reservation=reservation.holding.reservation,
                produced=100,
                outcome=FINISHED,
            )
            context.pool.release(release)


@when(
    "{count:d} engines leave, and each moves a generation before any copy is complete"
)
def step_leave(context, count):
    names = [f"e{number}" for number in range(count)]
    for name in names:
        leave(context, name)
    context.moves = [
        (name, move(context, context.held[name][0]).endpoint) for name in names
    ]


@then("no engine gets more than one of the copies")
def step_one_each(context):
    copies = collections.Counter(target for _, target in context.moves)
    assert max(copies.values()) == 1, copies


@then("all copies stay in their failure domain")
def step_near(context):
    domains = context.stub.domains
    far = [
        (source, target)
        for source, target in context.moves
        if domains[source] != domains[target]
    ]
    assert not far, far


@when(
    'the engine "{name}" leaves, to whose neighbour {count:d} copies are on their way'
)
@when('the engine "{name}" leaves, to whose neighbour {count:d} copy is on its way')
def step_inbound(context, name, count):
    """Let an engine of another failure domain leave for the same neighbour."""
    domains = context.stub.domains
    (context.neighbour,) = [
        other for other in domains if domains[other] == domains[name] and other != name
    ]
    leave(context, name)
    leave(context, "e1")
    context.copied = [each.holding.reservation for each in context.held["e1"][:count]]
    for reservation in context.copied:
        hold(context, reservation.split("/", 2)[-1], context.neighbour, prefix="h/9")


@when("these copies have arrived")
def step_arrived(context):
    for name in context.copied:
        context.pool.release(Release(reservation=name, produced=100, outcome=FINISHED))


@then('a generation of "{name}" goes to its neighbour')
def step_to_neighbour(context, name):
    target = move(context, context.held[name][0])
    assert target.endpoint == context.neighbour, target.endpoint


@then('a generation of "{name}" goes to another failure domain')
def step_far(context, name):
    target = move(context, context.held[name][0])
    domains = context.stub.domains
    assert domains[target.endpoint] != domains[name], target.endpoint
