"""What an upstream says about its load in a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_daemon.services.events import RecordIgnored, UpstreamChanged
from fulmarstile_services.upstream_load import parse_load

if TYPE_CHECKING:
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_services.service_times import ServiceTimes
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement


def read_load(
    value: bytes,
    received_at: float,
    service_times: ServiceTimes,
    announcement: UpstreamAnnouncement,
    log: EventLog,
) -> None:
    """Applies the load that a response reports; nonsense is logged and ignored.

    Args:
        value: Value of the header; empty if the response has none.
        received_at: Time at which the head of the response arrived, in seconds.
        service_times: Service times of the upstream, to which the load is applied.
        announcement: Last announcement of the upstream.
        log: Log of the daemon.
    """
    if not value:
        return
    load = parse_load(value)
    if load is None:
        reason = f"its load is malformed: {value[:40]!r}"
        log.write(RecordIgnored(source="response", reason=reason))
    elif service_times.on_load(load, received_at):
        log.write(
            UpstreamChanged(
                upstream=announcement.upstream_id,
                born_ms=announcement.born_ms,
                change="reports the speed of its VM",
                slots=load.slots,
            )
        )
