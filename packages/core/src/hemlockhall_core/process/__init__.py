"""Settings, logs, metrics and store clients of a process."""

from __future__ import annotations
