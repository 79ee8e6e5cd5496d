"""The hemlockhall daemon: an entry host, a side process or a router."""

from __future__ import annotations
