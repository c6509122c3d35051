"""Finds the customer whose key a request presents."""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

from fulmarstile_services.document import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_services.document import Customer

DIGEST_BYTES: Final = 16
"""Length of a key's digest, in bytes."""
_DIGEST_KEY: Final = b"fulmarstile caller's key"
"""Key of the digests. It separates them from digests made elsewhere, and is no secret: all daemons
must compute the same digests, and they share no secret."""


def digest_key(key: bytes) -> bytes:
    """Computes the digest by which a key is looked up and passed to other daemons.

    Args:
        key: The key as the caller sends it.

    Returns:
        The digest.
    """
    return blake2b(key, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest()


class CustomerIndex:
    """Customers by their keys, as one document names them.

    Args:
        customers: The customers.

    Raises:
        DocumentError: If a customer has no usable name, is listed twice or has a negative rate, or
            if a key belongs to two customers. The message never contains a key.
    """

    def __init__(self, customers: Iterable[Customer]) -> None:
        self._by_digest: dict[bytes, Customer] = {}
        names: set[str] = set()
        for customer in customers:
            _check(customer)
            if customer.name in names:
                raise DocumentError(f"the customer {customer.name} is listed twice")
            names.add(customer.name)
            self._add(customer)

    def find(self, key: bytes) -> Customer | None:
        """Finds the customer that a key belongs to.

        Args:
            key: The key as the caller sent it.

        Returns:
            The customer, or None if no customer has the key.
        """
        return self._by_digest.get(digest_key(key))

    def _add(self, customer: Customer) -> None:
        for digest in customer.key_digests:
            other = self._by_digest.setdefault(digest, customer)
            if other is not customer:
                raise DocumentError(f"{other.name} and {customer.name} have a key in common")


def _check(customer: Customer) -> None:
    """Checks the fields of one customer."""
    name = customer.name
    if not name.strip():
        raise DocumentError("a customer has no name")
    if not name.isprintable() or name != name.strip():
        # The name is the value of a header.
        raise DocumentError(f"the customer name {name!r} has characters that a header cannot hold")
    for field, value in (("rate", customer.rate_per_s), ("burst", customer.burst)):
        if not math.isfinite(value) or value < 0.0:
            raise DocumentError(f"the {field} of customer {name} is {value:g}")
