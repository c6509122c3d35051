"""Cost of customers' quotas: processor time for each request, and bytes and time of exchanges.

Run as `python -m fulmarstile_testing.bench_quotas`. Times are wall-clock times of this process;
the exchanges run in virtual time.
"""

from __future__ import annotations

import hashlib
import random
import time
from typing import Final

from absl import app

from fulmarstile_services.document import Customer
from fulmarstile_services.quotas.lease import Source, choose_interval_s
from fulmarstile_services.quotas.plan import SHARD_COUNT, plan_quota, shard_of
from fulmarstile_services.quotas.shard import QuotaShard
from fulmarstile_services.settings import QuotaBounds
from fulmarstile_wire.quotas import OwnerRecord
from fulmarstile_wire.services import PeerAnswer, PeerCall, encode_frame

_BOUNDS: Final = QuotaBounds(5.0, 0.1, 20.0)
_ROUNDS: Final = 100_000
_EXCHANGE_S: Final = 3.0
"""Virtual time for which exchanges are measured, in seconds."""
_CALLS_PER_S: Final = 389
"""Requests per second at each daemon."""
_TOTAL_CUSTOMERS: Final = 84


def make_owned_shard(customers: list[Customer], number: int) -> QuotaShard:
    """Makes a shard that the daemon owns, with the customers that belong to it."""
    shard = QuotaShard("owner", 1, number, _BOUNDS.window_s)
    plans = {c.name: plan_quota(c, _BOUNDS) for c in customers if shard_of(c.name) == number}
    shard.set_plans(plans, 0.0)
    shard.ownership.on_read((), 0, 0.0)
    shard.on_appended(OwnerRecord("owner", 1), 0, 0.0, 0.0)
    return shard


def renew(shard: QuotaShard, now: float) -> None:
    """Renews the ownership of a shard."""
    end = shard.ownership.end_offset or 0
    shard.on_appended(OwnerRecord("owner", 1), end, now, now)


def bench_request(customer_count: int) -> None:
    """Prints the time that looking up a key and taking a token take."""
    customers = [
        Customer(f"customer-{n}", frozenset(), rate_per_s=1e6, burst=1e6)
        for n in range(customer_count)
    ]
    shards = [make_owned_shard(customers, number) for number in range(SHARD_COUNT)]
    keys = [b"key-%d" % n for n in range(customer_count)]
    secret = b"secret of this process"
    by_digest = {
        hashlib.blake2b(key, key=secret, digest_size=16).digest(): customer
        for key, customer in zip(keys, customers, strict=True)
    }
    # Each daemon serves a few customers at a time; the others are known but not active.
    busy = [keys[n] for n in random.Random(1).sample(range(customer_count), 84)]
    accepted = 0
    started_at = time.perf_counter()
    for number in range(_ROUNDS):
        now = number / 1000
        if number % 200 == 0:
            for shard in shards:
                renew(shard, now)
                reply = shard.on_request(shard.lease.make_request(now), now)
                shard.lease.on_reply(reply, now)
        key = busy[number % len(busy)]
        customer = by_digest[hashlib.blake2b(key, key=secret, digest_size=16).digest()]
        decision = shards[shard_of(customer.name)].lease.take(customer.name, now)
        accepted += decision.source is Source.TOKEN
    elapsed_us = (time.perf_counter() - started_at) / _ROUNDS * 1e6
    print(f"{customer_count:6} customers: {elapsed_us:6.2f} us a request, exchanges included")


def bench_exchanges(daemon_count: int, exponent: float, burst_s: float) -> None:
    """Prints bytes and processor time of one daemon's exchanges, and those of an owner.

    Args:
        daemon_count: Number of daemons.
        exponent: Exponent of the distribution of customers' sizes; 0 for equal ones.
        burst_s: Burst of each customer, in seconds of its rate.
    """
    sizes = [(n + 1) ** -exponent for n in range(_TOTAL_CUSTOMERS)]
    unit = _CALLS_PER_S * daemon_count / 0.8 / sum(sizes)
    customers = [
        Customer(f"customer-{n}", frozenset(), rate_per_s=unit * size, burst=unit * size * burst_s)
        for n, size in enumerate(sizes)
    ]
    owner = make_owned_shard(customers, 0)
    names = [c.name for c in customers if shard_of(c.name) == 0]
    daemons = [QuotaShard(f"daemon-{n}", 1, 0, _BOUNDS.window_s) for n in range(daemon_count)]
    for daemon in daemons:
        daemon.set_plans({name: plan_quota(c, _BOUNDS) for name, c in _by_name(customers)}, 0.0)
    draw = random.Random(1)
    sent_bytes = 0
    daemon_s = owner_s = 0.0
    requests = steps = 0
    interval_s = choose_interval_s(daemon_count)
    weights = [sizes[int(name.rpartition("-")[2])] for name in names]
    part = _CALLS_PER_S * sum(weights) / sum(sizes) * 0.01
    while steps * 0.01 < _EXCHANGE_S:
        steps += 1
        now = steps * 0.01
        renew(owner, now)
        for daemon in daemons:
            for _ in range(int(part + draw.random())):
                (name,) = draw.choices(names, weights)
                if daemon.lease.take(name, now).source is Source.WAIT:
                    daemon.lease.add_waiting(name, 1)
            if now < daemon.lease.next_request_at(interval_s):
                continue
            t0 = time.perf_counter()
            request = daemon.lease.make_request(now)
            frame = encode_frame(PeerCall(1, request))
            t1 = time.perf_counter()
            reply = owner.on_request(request, now)
            answer = encode_frame(PeerAnswer(1, reply))
            t2 = time.perf_counter()
            daemon.lease.on_reply(reply, now)
            daemon_s += t1 - t0 + time.perf_counter() - t2
            owner_s += t2 - t1
            requests += 1
            sent_bytes += len(frame) + len(answer)
            for name in names:
                tokens = daemon.lease._customers[name]
                daemon.lease.add_waiting(name, -tokens.waiting)
    scale = SHARD_COUNT / daemon_count / _EXCHANGE_S
    print(
        f"{daemon_count:4} daemons, exponent {exponent:g}, burst {burst_s:g} s:"
        f" {requests * scale:5.1f} exchanges/s and"
        f" {sent_bytes * scale / 1000:5.1f} KB/s a daemon,"
        f" {daemon_s * scale * 100:5.2f}% of a core a daemon;"
        f" an owner serves {requests / _EXCHANGE_S:6.0f}/s"
        f" in {owner_s / _EXCHANGE_S * 100:5.1f}% of a core"
    )


def _by_name(customers: list[Customer]) -> list[tuple[str, Customer]]:
    return [(c.name, c) for c in customers if shard_of(c.name) == 0]


def main(_: list[str]) -> None:
    """Runs all measurements."""
    for count in (84, 1_000, 10_000):
        bench_request(count)
    for exponent, burst_s in ((0.0, 0.1), (0.0, 1.0), (1.0, 1.0)):
        for count in (14, 84, 720):
            bench_exchanges(count, exponent, burst_s)


if __name__ == "__main__":
    app.run(main)
