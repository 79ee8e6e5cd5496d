"""The hemlockhall process: an entry host or a side process."""

from __future__ import annotations
