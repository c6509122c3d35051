"""Clients of one store in virtual time, over connections that fail as those of a network do."""

from __future__ import annotations

import errno
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import count
from typing import TYPE_CHECKING, Any, Final

import trio

from fulmarstile_platform.http import (
    HttpClient,
    HttpClientSettings,
    HttpError,
    HttpResponse,
    HttpTimeoutError,
)
from fulmarstile_platform.keyed_log import (
    MAX_READ_BYTES,
    KeyedPage,
    LogConflictError,
    PageTransfer,
    RecordsExpiredError,
)
from fulmarstile_platform.log import LogUnavailableError
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from fulmarstile_platform.http import _Progress, _Request
    from fulmarstile_platform.keyed_log import KeyedRecord

# The timeouts of the platform's client.
_TIMEOUT_S: Final = 1.5
_END_TIMEOUT_S: Final = 1.2
_POLL_TIMEOUT_S: Final = 0.8
_BODY_TIMEOUT_S: Final = 6.0
_CONNECT_TIMEOUT_S: Final = 1.0
_USER_TIMEOUT_S: Final = 2.0
"""Time without acknowledgement after which the kernel breaks a connection, in seconds."""
_MAX_LATENCY_S: Final = 0.01
_CHECK_S: Final = 0.02
_ENCODED_RATIO: Final = 4 / 3
"""Size of a record in an answer of the store, which encodes it in base64, relative to its own."""
_OK: Final = 200
_ADDRESS: Final = "store:80"


@dataclass(slots=True)
class StoreFaults:
    """What is wrong between one daemon and the store at present."""

    hangs: bool = False
    """Whether the store handles no request until this ends."""
    refuses: bool = False
    """Whether the store refuses all requests."""
    delay_s: float = 0.0
    """Time by which answers are late, in seconds."""
    lost_share: float = 0.0
    """Share of the answers that never arrive."""
    drops_requests: bool = False
    """Whether nothing arrives at the store until this ends."""
    drops_answers: bool = False
    """Whether nothing arrives from the store until this ends."""
    held_before: dict[str, int] = field(default_factory=dict)
    """Offsets by topic; a read of earlier records is not answered until this ends."""


class SimulatedStore(FakeKeyedLog):
    """A daemon's client of the store: the pool of `HttpClient`, over simulated connections.

    Args:
        shared: The store.
        rng: Draws latencies and losses.
        link_bytes_per_s: Rate at which records arrive, which answers share; 0 for no limit.
    """

    def __init__(
        self, shared: FakeKeyedLog, rng: random.Random, link_bytes_per_s: float = 0.0
    ) -> None:
        super().__init__(shared)
        self.rng = rng
        self.link_bytes_per_s = link_bytes_per_s
        """Rate at which records arrive, which answers share; 0 for no limit."""
        self.topic_calls: Counter[str] = Counter()
        """Calls that were begun, by topic."""
        self.topic_bytes: Counter[str] = Counter()
        """Bytes of the answers' records, as encoded, by topic."""
        self.faults = StoreFaults()
        """What is wrong at present."""
        self.connections: dict[_StoreConnection, None] = {}
        """All open connections."""
        self._http = _SimulatedHttp(self)
        self._numbers = count()
        self._calls: dict[str, _Call] = {}
        self._transfers = 0

    def silence_open(self, share: float = 1.0) -> None:
        """Makes open connections silent for good; new ones work.

        Args:
            share: Share of the connections that this happens to.
        """
        for connection in self.connections:
            connection.is_silent |= share >= 1.0 or self.rng.random() < share

    async def handle(self, path: str) -> None:
        """Handles a request at the store.

        Args:
            path: Its path.
        """
        call = self._calls[path]
        while self.faults.hangs:
            await trio.sleep(_CHECK_S)
        if self.faults.refuses:
            call.error = LogUnavailableError("status 503", Verdict.NOT_RUN)
            return
        try:
            call.result = await call.run()
        except (RecordsExpiredError, LogConflictError) as error:
            call.error = error
        await trio.sleep(self.faults.delay_s)

    async def transfer(self, path: str, progress: _Progress) -> None:
        """Carries the records of an answer over the link.

        Args:
            path: Path of the request.
            progress: Told of each part that arrives.
        """
        call = self._calls[path]
        if not self.link_bytes_per_s or not isinstance(call.result, KeyedPage):
            return
        size = _encoded_size(call.result)
        started_at = trio.current_time()
        self._transfers += 1
        try:
            left = float(size)
            while left > 0:
                share = self.link_bytes_per_s / self._transfers
                part_s = min(_CHECK_S, left / share)
                await trio.sleep(part_s)
                left -= share * part_s
                progress.on_receive()
        finally:
            self._transfers -= 1
        transfer = PageTransfer(size, trio.current_time() - started_at)
        call.result = replace(call.result, transfer=transfer)

    async def read_newest(self, topic: str) -> KeyedPage:
        """See `KeyedLog.read_newest`."""
        return await self._request(topic, lambda: FakeKeyedLog.read_newest(self, topic))

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`."""
        return await self._request(
            topic,
            lambda: self._read_unless_held(topic, offset, wait_s, max_bytes),
            max(_TIMEOUT_S, wait_s + _POLL_TIMEOUT_S),
            kind="read",
        )

    async def read_end(self, topic: str) -> int:
        """See `KeyedLog.read_end`."""
        # As of the platform's client, its path is that of a read of records.
        call = lambda: FakeKeyedLog.read_end(self, topic)  # noqa: E731
        return await self._request(topic, call, _END_TIMEOUT_S, kind="read")

    async def append_keyed(self, topic: str, key: str, value: bytes, at: int | None = None) -> None:
        """See `KeyedLog.append_keyed`."""
        await self._request(topic, lambda: FakeKeyedLog.append_keyed(self, topic, key, value, at))

    async def append_together(self, topic: str, records: Sequence[KeyedRecord]) -> None:
        """See `KeyedLog.append_together`."""
        await self._request(topic, lambda: FakeKeyedLog.append_together(self, topic, records))

    def end_silent_reads(self, topic: str, silent_s: float) -> None:
        """See `KeyedLog.end_silent_reads`."""
        path_start = f"/read/{topic}/" if topic else "/read/"
        since = trio.current_time() - silent_s
        self._http.expire_silent(since, path_start, only_unanswered=True)
        self._http.distrust_idle()

    async def _read_unless_held(
        self, topic: str, offset: int, wait_s: float, max_bytes: int
    ) -> KeyedPage:
        while offset < self.faults.held_before.get(topic, 0):
            await trio.sleep(_CHECK_S)
        return await FakeKeyedLog.read_keyed(self, topic, offset, wait_s, max_bytes)

    async def _request(
        self,
        topic: str,
        run: Callable[[], Awaitable[Any]],
        timeout_s: float = _TIMEOUT_S,
        *,
        kind: str = "other",
    ) -> Any:
        path = f"/{kind}/{topic}/{next(self._numbers)}"
        self.topic_calls[topic] += 1
        call = self._calls[path] = _Call(run)
        try:
            await self._http.request(
                "GET",
                path,
                timeout_s=timeout_s,
                body_timeout_s=_BODY_TIMEOUT_S,
                silence_timeout_s=_TIMEOUT_S,
            )
        except HttpError as error:
            raise LogUnavailableError(f"{path}: {error}", error.verdict) from error
        finally:
            del self._calls[path]
        if call.error is not None:
            raise call.error
        if isinstance(call.result, KeyedPage):
            self.topic_bytes[topic] += _encoded_size(call.result)
        return call.result


class _Call:
    """What a request does at the store."""

    def __init__(self, run: Callable[[], Awaitable[Any]]) -> None:
        self.run = run
        self.result: Any = None
        self.error: Exception | None = None


class _SimulatedHttp(HttpClient):
    """The pool and the timeouts of the client, with simulated connections."""

    def __init__(self, store: SimulatedStore) -> None:
        super().__init__(_ADDRESS, HttpClientSettings(connect_timeout_s=_CONNECT_TIMEOUT_S))
        self._store = store

    async def _connect(self) -> Any:
        connection = _StoreConnection(self._store)
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                await connection.carry_request()
                await connection.carry_answer()
        except trio.TooSlowError as error:
            raise HttpTimeoutError("connecting timed out", Verdict.NOT_RUN) from error
        # What happened to other connections meanwhile doesn't concern it.
        self._store.connections[connection] = None
        return connection


class _StoreConnection:
    """Takes the place of a connection of `HttpClient`."""

    is_reusable = True
    host = _ADDRESS

    def __init__(self, store: SimulatedStore) -> None:
        self._store = store
        self._latency_s = store.rng.uniform(0.0, _MAX_LATENCY_S)
        self.is_silent = False
        self.idle_since = 0.0

    def is_usable(self, max_idle_s: float) -> bool:
        return trio.current_time() - self.idle_since <= max_idle_s

    async def exchange(self, request: _Request, progress: _Progress) -> HttpResponse:
        progress.on_send()
        await self.carry_request()
        await self._store.handle(request.path)
        if self._store.rng.random() < self._store.faults.lost_share:
            await trio.sleep_forever()
        await self.carry_answer()
        progress.on_head()
        await self._store.transfer(request.path, progress)
        if self.is_silent:
            await trio.sleep_forever()
        return HttpResponse(_OK, b"")

    async def carry_request(self) -> None:
        await self._carry()
        with trio.move_on_after(_USER_TIMEOUT_S) as unacknowledged:
            while self._store.faults.drops_requests or self._store.faults.drops_answers:
                await trio.sleep(_CHECK_S)
        if unacknowledged.cancelled_caught:
            raise ConnectionResetError(errno.ETIMEDOUT, "nothing was acknowledged")

    async def carry_answer(self) -> None:
        await self._carry()
        while self._store.faults.drops_answers:
            await trio.sleep(_CHECK_S)
        await self._carry()

    async def _carry(self) -> None:
        await trio.sleep(self._latency_s)
        if self.is_silent:
            await trio.sleep_forever()

    async def aclose(self) -> None:
        self._store.connections.pop(self, None)
        await trio.lowlevel.checkpoint()


def _encoded_size(page: KeyedPage) -> int:
    return int(sum(len(record.value) for record in page.records) * _ENCODED_RATIO)
