"""State and formats of a single request."""

from __future__ import annotations
