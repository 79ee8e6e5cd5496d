"""What lives as long as a connection between two processes."""

from __future__ import annotations
