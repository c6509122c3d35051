"""HTTP interface for operators and for the announcements of the local upstream."""

from fulmarstile_daemon.admin.api import AdminApi, AdminContext

__all__ = ["AdminApi", "AdminContext"]
