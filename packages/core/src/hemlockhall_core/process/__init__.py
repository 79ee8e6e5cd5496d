"""What lives as long as a process."""

from __future__ import annotations
