"""Byte stream over a non-blocking socket."""

from __future__ import annotations

import errno
import math
import select
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.late_readers import LateReaderWatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_SIZE: Final = 64 * 1024
"""Maximum number of bytes per read."""
OUT_OF_DESCRIPTORS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Error numbers of a process with too many files open, or too little memory."""
_KEEPALIVE_INTERVAL_S: Final = 1
"""Idle time before the first TCP keepalive probe and time between probes, in seconds."""
_KEEPALIVE_PROBES: Final = 2
"""Unanswered keepalive probes after which the kernel breaks the connection."""
_USER_TIMEOUT_MS: Final = 2_000
"""Time after which the kernel breaks a connection with unacknowledged data, in milliseconds."""
_STALL_CHECK_INTERVAL_S: Final = 0.5
_SHORT_SEND_TIMEOUT_S: Final = 2.0
"""Time for which the other side may accept nothing while memory is scarce, in seconds."""
_LINGER_S: Final = 1.0
"""Longest time for which input is discarded before a close, in seconds."""
_LINGER_BYTES: Final = 1024 * 1024
"""Number of input bytes after which discarding stops before a close."""
_HANG_UP: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
"""Events of a stream that the other side has closed or broken."""
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""`struct linger` that resets the connection on close."""


class ByteStream:
    """Socket that counts the bytes sent and can be checked for input without waiting.

    Writes that the kernel accepts at once do not yield to the scheduler.

    Args:
        sock: Connected, non-blocking socket, owned by the stream from now on.
        send_timeout_s: Longest time for which the other side may accept nothing while `send_all`
            has more to send, in seconds.
    """

    def __init__(self, sock: socket.socket, send_timeout_s: float = math.inf) -> None:
        self._socket = sock
        self._send_timeout_s = send_timeout_s
        self.may_stall: Callable[[], bool] = lambda: True
        """Returns whether there is memory for what waits longer than 2 s to be sent."""
        self.sent_bytes = 0
        """Bytes handed to the kernel since the stream was opened."""
        self._late_reader = LateReaderWatch(sock, _USER_TIMEOUT_MS / 1000)
        self._acknowledged_bytes = 0
        """Bytes handed to the kernel that need no further check by `allow_late_reader`."""
        self._is_broken = False
        """Whether the kernel has reported that the connection broke; it does so only once."""

    @property
    def is_closed(self) -> bool:
        """Whether the stream was closed by this side."""
        return self._socket.fileno() < 0

    @property
    def is_open_without_input(self) -> bool:
        """Whether the stream is open and neither input nor its end is waiting to be read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            self._is_broken = True
            return False
        return False

    @property
    def has_ended(self) -> bool:
        """Whether the other side has closed or broken the stream and all input was read."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            self._is_broken = True
            return True

    @property
    def has_hung_up(self) -> bool:
        """Whether the other side has closed or broken the stream, with or without unread input."""
        if self.is_closed:
            return True
        poll = select.poll()
        poll.register(self._socket, _HANG_UP)
        return bool(poll.poll(0))

    def fileno(self) -> int:
        """Returns the file descriptor, negative if closed."""
        return self._socket.fileno()

    async def receive(self, max_bytes: int = READ_SIZE) -> bytes:
        """Waits for input and reads what has arrived.

        Args:
            max_bytes: Maximum number of bytes to read.

        Returns:
            Bytes read; empty at the end of the stream.

        Raises:
            OSError: If the connection broke.
        """
        while True:
            await self._wait(trio.lowlevel.wait_readable)
            try:
                data = self._socket.recv(max_bytes)
            except BlockingIOError:
                continue
            if not data and self._is_broken:
                raise OSError(errno.ECONNRESET, "the connection broke before the end of the stream")
            return data

    async def send_all(self, data: bytes | memoryview) -> None:
        """Sends all bytes, waiting only if the kernel's buffer is full.

        Args:
            data: Bytes to send.

        Raises:
            OSError: If the connection broke, or the other side accepted nothing for too long.
        """
        unsent = memoryview(data)
        while unsent:
            try:
                count = self._socket.send(unsent)
            except BlockingIOError:
                await self._wait_to_send()
                continue
            except OSError:
                self._is_broken = True
                raise
            self.sent_bytes += count
            unsent = unsent[count:]

    def send_nowait(self, data: bytes | memoryview) -> int:
        """Sends as much as the kernel accepts without waiting.

        Args:
            data: Bytes to send.

        Returns:
            Number of bytes accepted.

        Raises:
            OSError: If the connection broke.
        """
        try:
            count = self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self._is_broken = True
            raise
        self.sent_bytes += count
        return count

    async def wait_writable(self) -> None:
        """Waits until the kernel accepts bytes again.

        Raises:
            OSError: If the stream is closed.
        """
        await self._wait(trio.lowlevel.wait_writable)

    def allow_late_reader(self, now: float, *, may_stall: bool) -> bool:
        """Keeps the kernel from breaking the connection while the peer is alive but reads late.

        To be called periodically; needs no system call while nothing was sent.

        Args:
            now: The current time, in seconds.
            may_stall: Whether there is memory for what waits to be sent.

        Returns:
            Whether the peer is late at present: the next call is due `STALLED_CHECK_INTERVAL_S`
            later, otherwise `CHECK_INTERVAL_S`.
        """
        if self.sent_bytes == self._acknowledged_bytes or self.is_closed:
            return False
        sent_bytes = self.sent_bytes
        if not self._late_reader.check(now, may_stall=may_stall):
            self._acknowledged_bytes = sent_bytes
        return self._late_reader.is_extended

    def send_eof(self) -> None:
        """Shuts down sending, so that the other side reads the end of the stream."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def close_after_peer(self) -> None:
        """Closes the connection once the other side has closed it, or after a limit.

        Until then input is discarded: closing a socket with unread input resets the connection,
        and data in transit to the other side would be lost.
        """
        self.send_eof()
        discarded = 0
        with trio.move_on_after(_LINGER_S), suppress(OSError):
            while discarded < _LINGER_BYTES:
                data = await self.receive()
                if not data:
                    break
                discarded += len(data)
        self.close()

    async def _wait(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        """Waits for the socket, but first checks that it is open, which trio does not do."""
        if self.is_closed:
            raise OSError(errno.EBADF, "the stream is closed")
        try:
            await wait(self._socket)
        except trio.ClosedResourceError as error:
            raise OSError(errno.EBADF, "the stream was closed during the wait") from error

    async def _wait_to_send(self) -> None:
        started_at = trio.current_time()
        while True:
            with trio.move_on_after(min(_STALL_CHECK_INTERVAL_S, self._send_timeout_s)):
                await self._wait(trio.lowlevel.wait_writable)
                return
            stalled_s = trio.current_time() - started_at
            is_needed = stalled_s >= _SHORT_SEND_TIMEOUT_S and not self.may_stall()
            if is_needed or stalled_s >= self._send_timeout_s:
                raise OSError(errno.ETIMEDOUT, "the other side does not read")

    def abort(self) -> None:
        """Resets the connection, so that the other side sees an error instead of a normal end."""
        if self._socket.fileno() < 0:
            return
        with suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()


def set_socket_options(sock: socket.socket, *, peer_may_read_late: bool = False) -> None:
    """Disables Nagle's algorithm and makes the kernel break connections to a peer that is gone.

    Args:
        sock: TCP socket; connections accepted by a listening socket inherit the options.
        peer_may_read_late: Whether the peer may leave data unread for as long as it wants. The
            time limit for unacknowledged data does not allow that: it also runs while the
            receive buffer of the peer is full, unless `ByteStream.allow_late_reader` is called.
    """
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        if not peer_may_read_late:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


async def open_stream(address: str, *, peer_may_read_late: bool = False) -> ByteStream:
    """Opens a TCP connection.

    Args:
        address: `host:port` with an IP address.
        peer_may_read_late: See `set_socket_options`.

    Returns:
        The connected stream.

    Raises:
        OSError: If the connection cannot be opened.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    set_socket_options(sock, peer_may_read_late=peer_may_read_late)
    try:
        await _connect(sock, (host, int(port)))
    except (ValueError, OverflowError) as error:
        sock.close()
        raise OSError(errno.EINVAL, f"{address!r} is no address") from error
    except BaseException:
        sock.close()
        raise
    return ByteStream(sock)


async def _connect(sock: socket.socket, address: tuple[str, int]) -> None:
    sock.setblocking(False)
    try:
        sock.connect(address)
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connection failed") from None
