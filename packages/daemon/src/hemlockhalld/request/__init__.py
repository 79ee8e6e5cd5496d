"""What lives as long as a request."""

from __future__ import annotations
