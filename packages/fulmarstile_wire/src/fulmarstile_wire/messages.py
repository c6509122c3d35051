"""Messages between daemons about membership, configuration streams and claims.

Every message is idempotent: links may lose, repeat and reorder messages.
"""

from __future__ import annotations

import msgspec

from fulmarstile_wire.records import (
    ClaimRecord,
    MemberRecord,
    News,
    OutcomeRecord,
    StreamHead,
    StreamRecord,
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between daemons."""

    sender: str
    """`daemon_id` of the sending daemon."""
    reply_to: str
    """`host:port` at which the sender listens for messages."""


class Join(Message, frozen=True, array_like=True, tag="join"):
    """Asks a member for its whole membership view; sent by a starting daemon."""

    record: MemberRecord


class Members(Message, frozen=True, array_like=True, tag="members"):
    """Complete or partial membership view, in answer to `Join` or `MemberDigest`."""

    news: News
    answers_join: bool = False
    """Whether this is a settled member's answer to `Join`, with the joiner's applied versions."""


class MemberDigest(Message, frozen=True, array_like=True, tag="mdigest"):
    """Hash of the sender's membership view; a receiver with another hash answers `Members`."""

    digest: bytes
    buckets: tuple[int, ...] = ()
    """Hashes of parts of the view, split by hash of `daemon_id`, to find the parts that differ."""


class Probe(Message, frozen=True, array_like=True, tag="probe"):
    """Checks that the receiver is alive; carries membership updates."""

    sequence: int
    news: News = News()


class ProbeReply(Message, frozen=True, array_like=True, tag="preply"):
    """Answers a `Probe` or an `IndirectProbe` with the same sequence number."""

    sequence: int
    news: News = News()


class IndirectProbe(Message, frozen=True, array_like=True, tag="iprobe"):
    """Asks the receiver to probe `target` and to pass its reply on to the sender."""

    sequence: int
    target: str
    """`daemon_id` of the daemon to probe."""


class Heads(Message, frozen=True, array_like=True, tag="heads"):
    """Announces how far the sender has folded its streams; also serves anti-entropy."""

    heads: tuple[StreamHead, ...]


class RecordRequest(Message, frozen=True, array_like=True, tag="rreq"):
    """Asks for the records of a stream from an offset on."""

    customer: str
    generation: int
    from_offset: int


class RecordBatch(Message, frozen=True, array_like=True, tag="records"):
    """Consecutive records of one stream, in answer to `RecordRequest` or pushed."""

    customer: str
    generation: int
    records: tuple[StreamRecord, ...]
    next_offset: int
    """Offset after the last record; the batch is complete up to it."""
    previous_digest: bytes = b""
    """Hash of the record before the first one, 8 bytes; empty if it is not kept."""


class SnapshotRequest(Message, frozen=True, array_like=True, tag="sreq"):
    """Asks for a signed snapshot of a stream's fold."""

    customer: str


class SnapshotOffer(Message, frozen=True, array_like=True, tag="snap"):
    """A signed snapshot of a stream's fold."""

    customer: str
    payload: bytes


class ClaimRequest(Message, frozen=True, array_like=True, tag="claim"):
    """Asks a batcher to append a claim and to report who won the key."""

    shard: int
    claim: ClaimRecord


class ClaimReply(Message, frozen=True, array_like=True, tag="claimed"):
    """Reports the winner of a key, decided by order in the log."""

    claim_id: str
    """The claim that this message answers."""
    winner_id: str
    """Claim that holds the key; empty if the claim was not appended."""
    fingerprint: bytes = b""
    """Fingerprint of the winning claim."""
    outcome: OutcomeRecord | None = None
    """Stored outcome of the winning claim, if it is known."""
    refusal: str = ""
    """Reason why the claim certainly was not appended; empty otherwise."""


class OutcomeReport(Message, frozen=True, array_like=True, tag="outcome"):
    """Asks a batcher to append the outcome of a claim."""

    shard: int
    outcome: OutcomeRecord


AnyMessage = (
    Join
    | Members
    | MemberDigest
    | Probe
    | ProbeReply
    | IndirectProbe
    | Heads
    | RecordRequest
    | RecordBatch
    | SnapshotRequest
    | SnapshotOffer
    | ClaimRequest
    | ClaimReply
    | OutcomeReport
)
"""Every message that a daemon accepts."""
