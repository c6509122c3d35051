"""Looks at a running fleet from outside: admin interfaces, calls and conditions."""

from __future__ import annotations

import random
import time
import uuid
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any, Final

import msgspec
import trio

from fulmarstile_platform.http import HttpClient, HttpError, HttpResponse, open_http_client
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

POLL_INTERVAL_S: Final = 0.05
"""Time between two looks at a condition, in seconds."""

CONDITION_TIMEOUT_S: Final = 60.0
"""Time after which a condition that still does not hold is an error, in seconds."""


class ConditionError(FulmarstileError):
    """A condition did not come to hold in time."""


def build_key(seed: int | None = None, age_ms: int = 0) -> str:
    """Builds an idempotency key, a UUID of version 7.

    Args:
        seed: Seed of the random bits; None for any.
        age_ms: Age of the key, in milliseconds.

    Returns:
        The key.
    """
    created_ms = time.time_ns() // 1_000_000 - age_ms
    bits = random.Random(seed).getrandbits(80)
    value = (created_ms << 80) | bits
    value &= ~(0xF << 76 | 0x3 << 62)
    value |= 0x7 << 76 | 0x2 << 62
    return str(uuid.UUID(int=value))


class FleetProbe:
    """Sends requests to any process of a fleet over kept connections.

    Args:
        stack: Owns the connections.
    """

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self._clients: dict[str, HttpClient] = {}

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Sends one request.

        Args:
            address: `host:port` of the process.
            method: HTTP method.
            path: Path and query.
            body: JSON body.
            headers: Headers besides those of the framing.

        Returns:
            The response, of whatever status.

        Raises:
            HttpError: If no whole response arrived.
        """
        client = self._clients.get(address)
        if client is None:
            client = await self._stack.enter_async_context(open_http_client(address))
            self._clients[address] = client
        return await client.request(method, path, body, headers=headers)

    async def get_json(self, address: str, path: str) -> Any:
        """Returns the decoded JSON body of a GET request, or None if it failed."""
        try:
            response = await self.request(address, "GET", path)
        except HttpError:
            return None
        if response.status != 200:
            return None
        return msgspec.json.decode(response.body)


@asynccontextmanager
async def open_probe() -> AsyncIterator[FleetProbe]:
    """Opens a probe.

    Yields:
        The probe; its connections are closed on exit.
    """
    async with AsyncExitStack() as stack:
        yield FleetProbe(stack)


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    timeout_s: float = CONDITION_TIMEOUT_S,
) -> None:
    """Waits until a condition holds.

    Args:
        condition: Returns whether it holds.
        what: What is waited for, for the error.
        timeout_s: Longest wait, in seconds.

    Raises:
        ConditionError: If the condition does not hold in time.
    """
    with trio.move_on_after(timeout_s):
        while not await condition():
            await trio.sleep(POLL_INTERVAL_S)
        return
    raise ConditionError(f"not within {timeout_s:g} s: {what}")
