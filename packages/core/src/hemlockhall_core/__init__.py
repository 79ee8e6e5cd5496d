"""Code shared by the daemon, the command line and the router."""

from __future__ import annotations
