"""Types shared by all processes that handle a request."""

from __future__ import annotations
