"""Open-loop load: requests are sent when they are due, however slow the answers are."""

from __future__ import annotations

import random
import select
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import h11
from hdrh.histogram import HdrHistogram

_READ_SIZE: Final = 256 * 1024
_MAX_US: Final = 60_000_000
_HEADERS: Final = (
    ("Host", "planning.example"),
    ("User-Agent", "bench/1"),
    ("Accept", "application/json"),
    ("Accept-Encoding", "identity"),
    ("Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"),
    ("X-Request-Id", "{number}"),
)
_NUMBER: Final = b"{number}"


def make_histogram() -> HdrHistogram:
    """Makes a histogram of latencies in microseconds."""
    return HdrHistogram(1, _MAX_US, 3)


@dataclass(frozen=True, slots=True)
class Load:
    """What is sent."""

    address: str
    rate: float
    """Requests per second, with exponential intervals."""
    duration_s: float
    target: str = "/slots"
    headers: tuple[tuple[str, str], ...] = ()
    seed: int = 1
    drain_s: float = 2.0
    """Time after the last request for which answers are awaited, in seconds."""


@dataclass(slots=True)
class LoadResult:
    """What came back."""

    latency: HdrHistogram = field(default_factory=make_histogram)
    """Latency of the answers with status 200, from the sending on, in microseconds.

    Requests are sent on as many connections as needed, so none waits for another's answer.
    """
    lateness: HdrHistogram = field(default_factory=make_histogram)
    """Delay of the sending after the time that a request was due, in microseconds."""
    sent: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    """Answers by status and verdict; `lost` stands for none."""

    @property
    def succeeded(self) -> int:
        """Answers with status 200."""
        return self.statuses["200"]

    def add(self, other: LoadResult) -> None:
        """Adds the result of another load.

        Args:
            other: The other result.
        """
        self.latency.add(other.latency)
        self.lateness.add(other.lateness)
        self.sent += other.sent
        self.statuses += other.statuses


class _Connection:
    """Keep-alive connection with one request at a time."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self._http = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        self.sent_at = 0.0

    def send(self, request: h11.Request, number: int) -> None:
        data = self._http.send(request) + self._http.send(h11.EndOfMessage())
        data = data.replace(_NUMBER, b"%d" % number)
        self.sent_at = time.perf_counter()
        self.socket.sendall(data)

    def receive(self) -> str | None:
        """Takes what has arrived; returns the outcome once the answer is whole."""
        try:
            self._http.receive_data(self.socket.recv(_READ_SIZE))
            while (event := self._http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    self._head = event
                elif isinstance(event, h11.EndOfMessage):
                    return self._finish()
                elif isinstance(event, h11.ConnectionClosed):
                    return "lost"
        except (OSError, h11.RemoteProtocolError):
            return "lost"
        return None

    @property
    def is_reusable(self) -> bool:
        return self._http.our_state is h11.IDLE

    def _finish(self) -> str:
        assert self._head is not None
        verdict = dict(self._head.headers).get(b"fulmarstile-verdict", b"").decode()
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        return f"{self._head.status_code} {verdict}".strip()


class LoadGenerator:
    """Sends one or more loads at the same time from one thread.

    Args:
        loads: What to send.
    """

    def __init__(self, *loads: Load) -> None:
        self._loads = loads
        self._results = [LoadResult() for _ in loads]
        self._idle: dict[str, list[_Connection]] = {}
        self._busy: dict[int, tuple[_Connection, int]] = {}
        self._poll = select.epoll()
        self._requests = [_make_request(load) for load in loads]

    def run(self) -> list[LoadResult]:
        """Sends everything and collects the answers.

        Returns:
            One result for each load.
        """
        start = time.perf_counter()
        for number, (due_s, index) in enumerate(self._plan()):
            due_at = start + due_s
            self._receive_until(due_at)
            self._send(index, number, due_at)
        end = time.perf_counter() + max(load.drain_s for load in self._loads)
        while self._busy and time.perf_counter() < end:
            self._receive(0.01)
        self._close()
        return self._results

    def _plan(self) -> list[tuple[float, int]]:
        plan = []
        for index, load in enumerate(self._loads):
            rng = random.Random(load.seed)
            due_s = rng.expovariate(load.rate)
            while due_s < load.duration_s:
                plan.append((due_s, index))
                due_s += rng.expovariate(load.rate)
        return sorted(plan)

    def _receive_until(self, due_at: float) -> None:
        while (left_s := due_at - time.perf_counter()) > 0:
            self._receive(left_s)

    def _send(self, index: int, number: int, due_at: float) -> None:
        load = self._loads[index]
        result = self._results[index]
        result.sent += 1
        idle = self._idle.setdefault(load.address, [])
        try:
            connection = idle.pop() if idle else self._connect(load.address)
            connection.send(self._requests[index], number)
        except OSError:
            result.statuses["lost"] += 1
            return
        result.lateness.record_value(max(1, int((connection.sent_at - due_at) * 1e6)))
        self._busy[connection.socket.fileno()] = (connection, index)

    def _connect(self, address: str) -> _Connection:
        connection = _Connection(address)
        self._poll.register(connection.socket, select.EPOLLIN)
        return connection

    def _receive(self, timeout_s: float) -> None:
        select.select([self._poll], [], [], timeout_s)  # epoll itself rounds up to whole ms
        ready = self._poll.poll(0)
        now = time.perf_counter()
        for descriptor, _ in ready:
            if descriptor in self._busy:
                self._take(descriptor, now)
            else:
                self._forget(descriptor)

    def _take(self, descriptor: int, now: float) -> None:
        connection, index = self._busy[descriptor]
        outcome = connection.receive()
        if outcome is None:
            return
        del self._busy[descriptor]
        load = self._loads[index]
        result = self._results[index]
        result.statuses[outcome] += 1
        if outcome == "200":
            result.latency.record_value(max(1, int((now - connection.sent_at) * 1e6)))
        if connection.is_reusable:
            self._idle[load.address].append(connection)
        else:
            connection.socket.close()

    def _forget(self, descriptor: int) -> None:
        for idle in self._idle.values():
            for connection in idle:
                if connection.socket.fileno() == descriptor:
                    idle.remove(connection)
                    connection.socket.close()
                    return

    def _close(self) -> None:
        for connection, index in self._busy.values():
            self._results[index].statuses["lost"] += 1
            connection.socket.close()
        for idle in self._idle.values():
            for connection in idle:
                connection.socket.close()
        self._poll.close()


def _make_request(load: Load) -> h11.Request:
    return h11.Request(method="GET", target=load.target, headers=[*_HEADERS, *load.headers])
