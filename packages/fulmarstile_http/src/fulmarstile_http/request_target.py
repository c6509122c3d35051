"""Forms in which the target of a request may be written."""

from __future__ import annotations

import re
from typing import Final

from fulmarstile_http.messages import RequestHead
from fulmarstile_http.request_checks import MalformedRequestError

_ABSOLUTE: Final = re.compile(rb"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)


def use_origin_form(head: RequestHead) -> RequestHead:
    """Replaces a target in absolute form, which callers use that are configured for a proxy.

    Servers only have to expect the path. The host in the target replaces that of the header.

    Args:
        head: Head of a request with at most one host.

    Returns:
        The head with the path and query as the target; the same one if they are.

    Raises:
        MalformedRequestError: If the target names no host, or a user.
    """
    if head.target.startswith(b"/"):
        return head
    match = _ABSOLUTE.fullmatch(head.target)
    if match is None:
        return head
    host, rest = match.groups()
    if not host or b"@" in host:
        raise MalformedRequestError("the target of the request does not name a host")
    others = [header for header in head.headers if header[0].lower() != b"host"]
    target = rest if rest.startswith(b"/") else b"/" + rest
    return RequestHead(head.method, target, [(b"Host", host), *others], head.http_version)
