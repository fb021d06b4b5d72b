"""Finds out which software version began a stream that its caller resumes.

A gateway that has heard of the stream knows it.  Otherwise the store may tell: by the
stream's own record, or because only one version can have begun it.  This gateway may be
behind the others, and the records behind the engines, so the engines count that the
store lists now.  A stream whose version nobody can show isn't joined to any.
"""

from __future__ import annotations

import asyncio
import time

from baobabturn.core.results import Code, Failure
from baobabturn.gateway.mirror import StoreContact
from baobabturn.gateway.platforminterface import VersionsRecord
from baobabturn.gateway.request import CallerRequest
from baobabturn.gateway.serviceversions import versions_of
from baobabturn.gateway.streamorigins import StreamOrigin, StreamOrigins, stream_digest
from baobabturn.gateway.versionrecords import VersionRecorder

READ_TIMEOUT_S = 0.5
# Another gateway may know the stream, and this one once the store answers.
RETRY_AFTER_S = 0.3


class ResumedStreams:
    """Names the origin of streams that callers resume.

    Callers come in numbers after a gateway has died, so they share reads of the store:
    ``read_task`` is the newest one, which began at the monotonic time ``read_at``.
    """

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        recorder: VersionRecorder,
        contact: StoreContact,
    ):
        self.origins = origins
        self.recorder = recorder
        self.contact = contact
        self.read_task: asyncio.Task[list[VersionsRecord] | Failure] | None = None
        self.read_at = 0.0

    async def origin(self, request: CallerRequest) -> StreamOrigin | Failure:
        """Return the origin of the stream that a request resumes."""
        assert request.resumption is not None
        attempt = request.resumption.attempt
        digest = stream_digest(request.workspace, attempt)
        known = self.origins.find(digest) if attempt else None
        if known is not None:
            return known.origin or unknown_origin("two streams have its attempt")
        if self.contact.failing_since:
            return unknown_origin("the store doesn't answer")
        records = await self.read(request)
        if isinstance(records, Failure):
            return unknown_origin(str(records))
        for record in records:
            if attempt and digest in record.streams:
                return record.streams[digest]
        return self.only_origin(request, records)

    def only_origin(
        self, request: CallerRequest, records: list[VersionsRecord]
    ) -> StreamOrigin | Failure:
        """Return the origin if only one is possible.

        Without any record other versions may have left unnoticed.
        """
        self.recorder.observe()
        possible = [
            StreamOrigin(service=service, software_version=version)
            for service, _ in request.route.services
            for version in versions_of(service, records, self.recorder.versions)
        ]
        if len(possible) == 1 and records:
            return possible[0]
        reason = f"{len(possible)} versions may have begun it, {len(records)} records"
        return unknown_origin(reason)

    async def read(self, request: CallerRequest) -> list[VersionsRecord] | Failure:
        """Return what the store says now, at least as new as the request."""
        if self.read_task is None or self.read_at < request.arrived_at:
            self.read_at = time.monotonic()
            self.read_task = asyncio.create_task(self.read_store())
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await asyncio.shield(self.read_task)
        except TimeoutError:
            return Failure(
                Code.PLATFORM_UNREACHABLE, f"no answer in {READ_TIMEOUT_S:g} s"
            )

    async def read_store(self) -> list[VersionsRecord] | Failure:
        """Return the records, after the versions that the store lists are known.

        A version that leaves the list meanwhile is still in the records.
        """
        failure = await self.recorder.observe_listed()
        return failure or await self.recorder.read()


def unknown_origin(reason: str) -> Failure:
    """Return the refusal of a stream that can't be joined to any version."""
    return Failure(Code.STREAM_ORIGIN_UNKNOWN, reason, retry_after_s=RETRY_AFTER_S)
