"""Message links between the processes of a deployment."""

from __future__ import annotations
