"""What lives as long as one caller's request."""

from __future__ import annotations
