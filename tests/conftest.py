"""Every run draws the same examples and knows no time limit for one."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
