"""What the hemlockhall processes and the command line share."""

from __future__ import annotations
