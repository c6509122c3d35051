"""All keys of the settings file, with their types, defaults and purposes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.settings.values import (
    AddressListReader,
    AddressReader,
    ChoiceReader,
    IntegerReader,
    KeyReader,
    NameReader,
    SecondsReader,
)

if TYPE_CHECKING:
    from fulmarstile_daemon.settings.values import ValueReader

KEY_BYTES: Final = 32
"""Length of the mesh key and of an owner's public key, in bytes."""

CUSTOMERS_SECTION: Final = "customers"
"""Section whose keys are the names of customers."""


@dataclass(frozen=True, slots=True)
class SettingKey:
    """One key of the settings file."""

    section: str
    key: str
    reader: ValueReader
    default: str | None
    """Value used if the key is missing, as text; None if the key is required."""
    purpose: str


SETTING_KEYS: Final[tuple[SettingKey, ...]] = (
    SettingKey("daemon", "name", NameReader(), None, "Unique name of the daemon in the mesh."),
    SettingKey("daemon", "region", NameReader(), "default", "Region of the VM."),
    SettingKey("daemon", "availability_zone", NameReader(), None, "Availability zone of the VM."),
    SettingKey(
        "daemon",
        "drain_limit_s",
        SecondsReader(0.0, 3600.0),
        "60",
        "Maximum time that a graceful shutdown waits for calls in flight.",
    ),
    SettingKey(
        "daemon", "log_format", ChoiceReader(("human", "json")), "human", "Format of log lines."
    ),
    SettingKey(
        "daemon",
        "log_level",
        ChoiceReader(("DEBUG", "INFO", "WARNING", "ERROR")),
        "INFO",
        "Minimum level of the log lines that are written.",
    ),
    SettingKey(
        "peers",
        "address",
        AddressReader(),
        None,
        "Address to listen on for messages between daemons.",
    ),
    SettingKey(
        "peers",
        "advertise",
        AddressReader(allow_empty=True),
        "",
        "Address that peers connect to; the listener's address if empty.",
    ),
    SettingKey(
        "peers",
        "seeds",
        AddressListReader(),
        "",
        "Daemons to join through, in addition to those found in the log.",
    ),
    SettingKey(
        "peers",
        "dissemination",
        ChoiceReader(("push", "pull")),
        "push",
        "push sends new records with their announcement and converges faster; "
        "pull announces first and sends fewer bytes.",
    ),
    SettingKey(
        "peers",
        "probe_interval_s",
        SecondsReader(0.1, 10.0),
        "0.5",
        "Time between two probes; the peers are probed in turn.",
    ),
    SettingKey("calls", "address", AddressReader(), None, "Address to listen on for calls."),
    SettingKey(
        "calls",
        "advertise",
        AddressReader(allow_empty=True),
        "",
        "Address that other daemons send calls to; the listener's address if empty.",
    ),
    SettingKey(
        "calls",
        "default_customer",
        NameReader(allow_empty=True),
        "",
        "Customer of calls without a Fulmarstile-Customer header; one of [customers].",
    ),
    SettingKey(
        "calls",
        "queue_limit",
        IntegerReader(0, 10_000, "calls"),
        "64",
        "Maximum number of calls that wait for a slot of the upstream.",
    ),
    SettingKey(
        "calls",
        "max_connections",
        IntegerReader(1, 100_000, "connections"),
        "4096",
        "Maximum number of open connections from callers and daemons.",
    ),
    SettingKey(
        "calls",
        "head_timeout_s",
        SecondsReader(0.1, 300.0),
        "10",
        "Maximum time from the first byte of a request to the end of its head.",
    ),
    SettingKey(
        "calls",
        "progress_timeout_s",
        SecondsReader(0.1, 300.0),
        "10",
        "Maximum time without a byte while a body is transferred.",
    ),
    SettingKey(
        "admin",
        "address",
        AddressReader(),
        "127.0.0.1:7402",
        "Address to listen on for operators and for the upstream's announcements.",
    ),
    SettingKey("log", "address", AddressReader(), None, "Address of the platform's log service."),
    SettingKey(
        "log",
        "timeout_s",
        SecondsReader(0.1, 60.0),
        "5",
        "Maximum wait for an answer of the log, in addition to the time of a long poll.",
    ),
    SettingKey(
        "log",
        "retention_s",
        SecondsReader(10.0, 31_536_000.0),
        "86400",
        "Time for which the log keeps records.",
    ),
    SettingKey(
        "mesh",
        "key",
        KeyReader(KEY_BYTES),
        None,
        "Secret shared by all daemons; authenticates messages and snapshots.",
    ),
)
"""All predefined keys, in the order of the reference page; `[customers]` has arbitrary keys."""
