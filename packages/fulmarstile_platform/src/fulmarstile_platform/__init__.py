"""HTTP client, append-only log and keyed log of the platform."""

from fulmarstile_platform.http import (
    HttpClient,
    HttpClientSettings,
    HttpError,
    HttpResponse,
    HttpTimeoutError,
    open_http_client,
)
from fulmarstile_platform.http_log import HttpLog, HttpLogSettings, open_http_log
from fulmarstile_platform.keyed_log import (
    KeyedLog,
    KeyedPage,
    KeyedRecord,
    RecordsExpiredError,
)
from fulmarstile_platform.log import (
    Log,
    LogError,
    LogPage,
    LogRecord,
    LogRefusedError,
    LogUnavailableError,
)

__all__ = [
    "HttpClient",
    "HttpClientSettings",
    "HttpError",
    "HttpLog",
    "HttpLogSettings",
    "HttpResponse",
    "HttpTimeoutError",
    "KeyedLog",
    "KeyedPage",
    "KeyedRecord",
    "Log",
    "LogError",
    "LogPage",
    "LogRecord",
    "LogRefusedError",
    "LogUnavailableError",
    "RecordsExpiredError",
    "open_http_client",
    "open_http_log",
]
