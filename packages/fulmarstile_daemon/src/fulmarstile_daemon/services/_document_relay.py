"""Passes newer versions of the operator's document from daemon to daemon."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_platform.keyed_log import KeyedRecord
from fulmarstile_services.document_delta import DeltaError, restore_document
from fulmarstile_wire.documents import DocumentReply, DocumentRequest, TopicRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_services.document_sources import DocumentSources
    from fulmarstile_wire.services import Member

_LOGGER: Final = logging.getLogger(__name__)

SOURCE_DAEMON: Final = "daemon"
_WAIT_S: Final = 0.6
"""Time for which a reply waits for something newer, in seconds."""
_REPLY_DUE_S: Final = 0.9
"""Time after which a reply is late, in seconds: the wait of the other daemon and the way. Then
another one is asked, and the same one over a new connection, as the present one may be silent."""
_SILENCE_MARGIN_S: Final = _WAIT_S + 0.1
"""Time by which a reply on a new connection must be earlier for the old one to count as silent, in
seconds. A daemon whose loop was late still lets the earlier request wait."""
_LATE_REPLY_TIMEOUT_S: Final = 4.0
"""Time after which a reply is no longer expected, in seconds. Where a link is full, replies take
seconds; they are small and of use all the same."""
_MAX_POLLS: Final = 4
"""Requests that may wait for a reply at the same time."""
_SILENCE_INTERVAL_S: Final = 1.5
"""Shortest time between two silences, in seconds; requests that the first one made late may show it
again."""
_FETCH_TIMEOUT_S: Final = 1.0
"""Time for a reply that does not wait, in seconds."""
_RETRY_S: Final = 0.1
"""Pause after a failure, or while there is no daemon to ask, in seconds; doubled with each more."""
_MAX_RETRY_S: Final = 0.8
_HINT_DELAY_S: Final = 0.2
"""Time after which a newer version that another daemon has is fetched there, in seconds; usually it
has arrived by then."""


class _Poll:
    """A request that waits at another daemon."""

    __slots__ = ("asked_at", "ended", "is_answered", "member")

    def __init__(self, member: Member, asked_at: float) -> None:
        self.member = member
        self.asked_at = asked_at
        self.ended = trio.Event()
        self.is_answered = False
        """Whether there was a usable reply."""

    @property
    def due_at(self) -> float:
        """Time by which the other daemon should have replied, in seconds.

        If the reply is late because the connection went silent, that was before this time.
        """
        return self.asked_at + _WAIT_S


class DocumentRelay:
    """Asks other daemons for newer versions, and answers them.

    A request names the version that the daemon has, and the reply waits until there is a newer one.
    It has the difference between the two, so that even a slow link carries it in time.

    Args:
        name: Name of this daemon.
        documents: The active document.
        sources: Chooses the daemon to ask.
        links: Connections to other daemons.
        is_current: Returns whether this daemon follows the store, without an error.
    """

    def __init__(
        self,
        name: str,
        documents: ActiveDocument,
        sources: DocumentSources,
        links: DaemonLinks,
        is_current: Callable[[], bool],
    ) -> None:
        self._name = name
        self._documents = documents
        self._sources = sources
        self._links = links
        self._is_current = is_current
        self._hint: Member | None = None
        self._has_hint = trio.Event()
        self._polls: set[_Poll] = set()
        self._silence_at = -math.inf
        self.on_silence: list[Callable[[], None]] = []
        """Functions that are called when open connections have gone silent while new ones work."""
        self.bytes_sent = 0
        """Bytes of documents and differences sent to other daemons."""
        self.bytes_received = 0
        """Bytes of those that were received."""

    @property
    def asked(self) -> tuple[str, ...]:
        """Names of the daemons that were asked and have not replied."""
        return tuple(sorted({poll.member.name for poll in self._polls}))

    async def run(self) -> None:
        """Keeps asking, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_sources)
            nursery.start_soon(self._follow_hints)

    async def answer(self, request: DocumentRequest) -> DocumentReply:
        """Answers another daemon.

        Args:
            request: What it knows.

        Returns:
            What it lacks, as soon as there is anything, or after the time that it waits.
        """
        arrived_at = self._documents.clock()
        self._documents.hear_version(request.version)
        with trio.move_on_after(min(request.wait_ms / 1000, _WAIT_S)):
            while not self._has_more_than(request):
                await self._documents.changed.wait()
        return self._make_reply(request, arrived_at)

    async def fetch(self, member: Member) -> bool:
        """Fetches what another daemon has and this one lacks.

        Args:
            member: The daemon.

        Returns:
            Whether it replied and the reply was usable.
        """
        return await self._ask(member, 0.0, _FETCH_TIMEOUT_S) is not None

    def hint(self, member: Member) -> None:
        """Notes that another daemon has a newer version, which is fetched if it does not arrive.

        Args:
            member: The daemon.
        """
        self._hint = member
        self._has_hint.set()

    async def _follow_sources(self) -> None:
        retry_s = _RETRY_S
        silent_since: float | None = None
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                member = self._sources.choose(now, {poll.member.name for poll in self._polls})
                if member is None or len(self._polls) >= _MAX_POLLS:
                    await trio.sleep(_RETRY_S)
                    continue
                if silent_since is not None:
                    # If connections went silent, this one may have, too.
                    self._links.replace_silent(member.address, silent_since)
                poll = _Poll(member, now)
                nursery.start_soon(self._ask_source, poll)
                with trio.move_on_after(_REPLY_DUE_S):
                    await poll.ended.wait()
                if poll.is_answered:
                    retry_s = _RETRY_S
                    silent_since = None
                    continue
                self._sources.on_failure(member, trio.current_time())
                if poll.ended.is_set():
                    await trio.sleep(retry_s)
                    retry_s = min(_MAX_RETRY_S, retry_s * 2)
                    continue
                if silent_since is None:
                    silent_since = poll.due_at
                if self._links.replace_silent(member.address, poll.due_at):
                    nursery.start_soon(self._ask_again, poll)

    async def _ask_source(self, poll: _Poll) -> None:
        self._polls.add(poll)
        try:
            poll.is_answered = await self._ask_member(poll.member, _WAIT_S, _LATE_REPLY_TIMEOUT_S)
        finally:
            self._polls.discard(poll)
            poll.ended.set()

    async def _ask_again(self, late: _Poll) -> None:
        """Asks a daemon over a new connection; a reply shows that open ones have gone silent."""
        if not await self._ask_member(late.member, 0.0, _FETCH_TIMEOUT_S):
            return
        self._polls.discard(late)
        await trio.sleep(_SILENCE_MARGIN_S)
        now = trio.current_time()
        if not late.is_answered and now - self._silence_at >= _SILENCE_INTERVAL_S:
            self._silence_at = now
            self._links.retire_silent(late.due_at)
            for on_silence in self.on_silence:
                on_silence()

    async def _ask_member(self, member: Member, wait_s: float, timeout_s: float) -> bool:
        """Asks a daemon as a source; returns whether there was a usable reply."""
        reply = await self._ask(member, wait_s, timeout_s)
        if reply is None:
            return False
        self._sources.on_reply(member, trio.current_time(), is_current=reply.is_current)
        return True

    async def _follow_hints(self) -> None:
        while True:
            await self._has_hint.wait()
            self._has_hint = trio.Event()
            member, self._hint = self._hint, None
            version = self._documents.version
            await trio.sleep(_HINT_DELAY_S)
            if member is not None and self._documents.version == version:
                await self.fetch(member)

    async def _ask(self, member: Member, wait_s: float, timeout_s: float) -> DocumentReply | None:
        """Asks a daemon and applies its reply; None if there is no usable one."""
        documents = self._documents
        history = documents.history
        base = history.current
        told_offset = documents.told_offset
        request = DocumentRequest(
            self._name,
            documents.version,
            history.digest,
            -1 if told_offset is None else told_offset,
            int(wait_s * 1000),
        )
        asked_at = documents.clock()
        try:
            reply = await self._links.query(member, request, timeout_s)
        except DaemonUnreachableError as error:
            _LOGGER.debug("%s was not asked for a newer document: %s", member.name, error)
            return None
        if not isinstance(reply, DocumentReply) or not self._apply(reply, base):
            return None
        if reply.active_offset is None and documents.has_unread:
            # A daemon of an earlier release may have skipped the same records.
            return reply
        if reply.heard_ms is not None:
            documents.contact.hear(asked_at + reply.heard_ms / 1000)
        elif reply.is_current:
            # A daemon of an earlier release doesn't say when it had contact.
            documents.contact.hear(asked_at)
        if reply.age_ms >= 0 and reply.version == documents.version:
            documents.freshness.confirm_by_peer(asked_at, reply.age_ms / 1000)
        return reply

    def _apply(self, reply: DocumentReply, base: bytes) -> bool:
        """Applies a reply; returns whether it could be used."""
        documents = self._documents
        documents.hear_version(reply.version)
        self.bytes_received += len(reply.content)
        if reply.content and reply.version > documents.version:
            try:
                document = restore_document(reply.content, base if reply.is_delta else b"")
            except DeltaError as error:
                _LOGGER.warning("a document from another daemon is not used: %s", error)
                return False
            documents.apply_if_newer(document, SOURCE_DAEMON, len(reply.content))
        if documents.version < reply.version:
            return False
        known = documents.next_offset or 0
        records = [
            KeyedRecord(record.key, record.value, record.offset)
            for record in reply.records
            if record.offset >= known
        ]
        documents.apply_others(records)
        documents.learn_from(reply)
        return True

    def _has_more_than(self, request: DocumentRequest) -> bool:
        documents = self._documents
        if documents.version > request.version or documents.list_others(request.next_offset):
            return True
        return documents.next_offset is not None and request.next_offset < documents.next_offset

    def _make_reply(self, request: DocumentRequest, arrived_at: float) -> DocumentReply:
        documents = self._documents
        encoded = None
        if documents.version > request.version:
            encoded = documents.history.encode(request.base)
        content = b"" if encoded is None else encoded.content
        self.bytes_sent += len(content)
        records = tuple(
            TopicRecord(record.key, record.value, record.offset)
            for record in documents.list_others(request.next_offset)
        )
        age_s = documents.freshness.age_s(documents.clock())
        heard_s = documents.contact.heard_at - arrived_at
        return DocumentReply(
            documents.version,
            content,
            encoded is not None and encoded.is_delta,
            -1 if documents.next_offset is None else documents.next_offset,
            records,
            self._is_current(),
            math.ceil(age_s * 1000) if math.isfinite(age_s) else -1,
            math.floor(heard_s * 1000) if math.isfinite(heard_s) else None,
            documents.position.active_offset,
            documents.position.last_offset,
            documents.position.unusable_offset,
        )
