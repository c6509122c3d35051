"""A daemon of a case, from its start to its end."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_testing.builders.service_mesh import ServiceNode


@dataclass(slots=True)
class DaemonRun:
    """A daemon from its start to its end."""

    node: ServiceNode
    stopped_at: float = math.inf
    """Time of its SIGTERM, in seconds."""
    is_killed: bool = False

    @property
    def name(self) -> str:
        """Name of the daemon."""
        return self.node.daemon.directory.local_member.name
