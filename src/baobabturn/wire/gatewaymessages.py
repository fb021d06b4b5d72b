"""The messages that gateways exchange, one class for each schema struct."""

from __future__ import annotations

import attrs

from baobabturn.quarantine.evidence import PartEvidence
from baobabturn.store.version import NO_VERSION, StoreVersion
from baobabturn.wire.messages import Holdings, ProgressItem, Release


@attrs.define(kw_only=True, slots=True)
class GatewayState:
    """A gateway's sign of life, and the places at engines that it holds.

    ``callers`` is where callers reach it, ``serving`` says whether they may be
    sent there.  With ``full`` the holdings are all that it holds.  ``next_ms`` is the
    interval until its next heartbeat to the receiver, 0 in other messages.  ``relay``
    is where it takes requests that other gateways pass on, ``unreachable`` names the
    services whose endpoints it can't connect to.  ``forwards`` says that it takes
    ``ReservationNews`` and sends them on within its failure domain.  ``capacity`` is in
    thousandths of a core and ``load`` in thousandths of the capacity, each 0 if it
    isn't told.  ``compares`` says that it takes summaries.  In a ``summary`` ``digest``
    is that of all reservations, ``changed`` the number of the last message with changes
    before it, ``changed_ms`` the time since then, at most 1000, and ``produced`` the
    tokens of each reservation in the order of their names; the failure domain and the
    addresses, which a process never changes, are left out.
    """

    node: str = ""
    failure_domain: str = ""
    callers: str = ""
    incarnation: int = 0
    sequence: int = 0
    serving: bool = False
    full: bool = False
    holdings: list[Holdings] = attrs.Factory(list)
    ended: list[Release] = attrs.Factory(list)
    next_ms: int = 0
    relay: str = ""
    unreachable: list[str] = attrs.Factory(list)
    forwards: bool = False
    capacity: int = 0
    load: int = 0
    compares: bool = False
    summary: bool = False
    digest: int = 0
    changed: int = 0
    changed_ms: int = 0
    produced: list[int] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class ReservationChanges:
    """Changes of the reservations of the gateway ``node``, not necessarily the sender.

    ``sequence`` counts together with that of its ``GatewayState``.  With ``full`` the
    holdings are all that it holds.  ``progress`` is of reservations sent before.
    """

    node: str = ""
    incarnation: int = 0
    sequence: int = 0
    full: bool = False
    holdings: list[Holdings] = attrs.Factory(list)
    progress: list[ProgressItem] = attrs.Factory(list)
    ended: list[Release] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class ReservationNews:
    """Changes of reservations of one or several gateways, sent by ``node``.

    The receiver sends them on within its failure domain unless they are ``forwarded``.
    """

    node: str = ""
    forwarded: bool = False
    changes: list[ReservationChanges] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class ReservationReceipt:
    """Confirms the receiver's ``ReservationNews`` with these numbers to it."""

    node: str = ""
    incarnation: int = 0
    sequences: list[int] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class ReservationAsk:
    """Asks for a full ``GatewayState``: ``node`` knows other than a summary says."""

    node: str = ""


@attrs.define(kw_only=True, slots=True)
class PeerSilent:
    """Reports that a gateway sent no heartbeat to ``node``, one of its monitors."""

    node: str = ""
    gateway: str = ""
    incarnation: int = 0


@attrs.define(kw_only=True, slots=True)
class EngineLoad:
    """The load of some gateways' requests on an engine.

    ``tokens`` is the KV memory that they are expected to use at their peak.
    """

    pool: str = ""
    endpoint: str = ""
    tokens: int = 0
    requests: int = 0


@attrs.define(kw_only=True, slots=True)
class DomainLimit:
    """An endpoint's limit and the demand for it, as a failure domain knows them.

    ``requests`` is how many its gateways would have sent there lately, of which older
    ones count less.  The other fields are as in ``EndpointLimit``.
    """

    endpoint: str = ""
    requests: float = 0.0
    limited: bool = False
    per_s: float = 0.0
    stamp: int = 0


@attrs.define(kw_only=True, slots=True)
class DomainLoad:
    """The gateways of a failure domain and their load on engines, in aggregate.

    ``stamp`` is the time of the hybrid logical clock at which ``node`` wrote it.
    ``serving`` counts the gateways that callers may be sent to, ``callers`` are the
    addresses of some of them, ``limits`` what they know of endpoints that name a limit.
    ``forwarded`` is set on copies within a domain.
    """

    node: str = ""
    failure_domain: str = ""
    stamp: int = 0
    serving: int = 0
    callers: list[str] = attrs.Factory(list)
    engines: list[EngineLoad] = attrs.Factory(list)
    forwarded: bool = False
    limits: list[DomainLimit] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class StoreChange:
    """One change of an object; ``value`` is compressed JSON, empty for a removal."""

    name: str = ""
    version: StoreVersion = NO_VERSION
    value: bytes = b""


@attrs.define(kw_only=True, slots=True)
class StoreNews:
    """Changes of one kind of the platform's objects, as a watcher saw them.

    ``before`` is the version of the change before these, ``version`` that of the
    last of them; ``returning`` says that the store has just come back.  With ``full``
    the changes are all objects that exist.
    """

    node: str = ""
    kind: str = ""
    before: StoreVersion = NO_VERSION
    version: StoreVersion = NO_VERSION
    changes: list[StoreChange] = attrs.Factory(list)
    returning: bool = False
    full: bool = False


@attrs.define(kw_only=True, slots=True)
class StoreState:
    """Up to which change a kind is known, and how old that knowledge may be."""

    kind: str = ""
    version: StoreVersion = NO_VERSION
    age_ms: int = 0


@attrs.define(kw_only=True, slots=True)
class StoreAsk:
    """Asks a watcher what it knows; ``stamp`` is a time of the asker's clock.

    ``known`` says up to which change the asker knows each kind.
    """

    node: str = ""
    stamp: int = 0
    known: list[StoreState] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class StoreVouch:
    """What a watcher knows, with the stamp that it was asked with."""

    node: str = ""
    stamp: int = 0
    items: list[StoreState] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class PartNews:
    """What a gateway knows of parts of prompts that may crash engines.

    ``forwarded`` is set on copies within a domain; ``wanted`` asks the receiver for
    what it knows.
    """

    node: str = ""
    items: list[PartEvidence] = attrs.Factory(list)
    forwarded: bool = False
    wanted: bool = False


@attrs.define(kw_only=True, slots=True)
class EndpointLimit:
    """The limit on its rate of requests that an endpoint names in its answers.

    ``limited`` is false if the newest answer, at ``stamp`` of the hybrid clock, named
    none.  ``per_s`` counts the requests of all gateways together.  ``is_request``
    says that the sender sends the endpoint a request now, ``debt_ms`` for how long
    the booked requests fill its schedule, ``demand`` how many requests the sender would
    have sent there lately.  ``cold_left_ms`` says for how long the sender takes the
    endpoint for cold by its own knowledge; 0, also of older peers, says nothing.
    """

    endpoint: str = ""
    limited: bool = False
    per_s: float = 0.0
    stamp: int = 0
    is_request: bool = False
    debt_ms: int = 0
    demand: float = 0.0
    cold_left_ms: int = 0


@attrs.define(kw_only=True, slots=True)
class LimitNews:
    """What a gateway knows of endpoints' limits, and which requests it sends."""

    node: str = ""
    items: list[EndpointLimit] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class BrittleEndpoint:
    """How many refusals a second an endpoint bears, by all gateways together.

    ``brittle`` is false if the newest answer, at ``stamp`` of the hybrid clock, named
    none.  ``refused`` says that it has just refused a request of the sender.
    """

    endpoint: str = ""
    brittle: bool = False
    refusals_per_s: float = 0.0
    stamp: int = 0
    refused: bool = False


@attrs.define(kw_only=True, slots=True)
class BrittleNews:
    """What a gateway knows of brittle endpoints and has seen of their refusals."""

    node: str = ""
    items: list[BrittleEndpoint] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class DepartedEndpoint:
    """An endpoint that left ``age_ms`` ago, in an era of the store."""

    name: str = ""
    address: str = ""
    incarnation: int = 0
    era: int = 0
    age_ms: int = 0


@attrs.define(kw_only=True, slots=True)
class CatchUpAsk:
    """Asks what the receiver knows beyond a configuration's ``revision``."""

    node: str = ""
    revision: int = 0


@attrs.define(kw_only=True, slots=True)
class CatchUpReply:
    """What a gateway knows that a store which returned from a copy may lack.

    ``settled`` says that it served before it was asked.  ``revision`` is that of its
    configuration, ``config`` the object with it if it is newer than the asker's, and
    ``behind_ms`` for how long the store has held an older one.
    """

    node: str = ""
    settled: bool = False
    revision: int = 0
    config: list[StoreChange] = attrs.Factory(list)
    behind_ms: int = 0
    departed: list[DepartedEndpoint] = attrs.Factory(list)


@attrs.define(kw_only=True, slots=True)
class PathAsk:
    """Asks whether the receiver can connect to an endpoint; ``number`` is echoed."""

    node: str = ""
    number: int = 0
    endpoint: str = ""


@attrs.define(kw_only=True, slots=True)
class PathOpinion:
    """Whether ``node`` can connect to the endpoint that it was asked about."""

    node: str = ""
    number: int = 0
    connects: bool = False
