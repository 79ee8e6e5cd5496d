"""Components that live as long as the process."""

from __future__ import annotations
