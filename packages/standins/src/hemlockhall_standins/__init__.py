"""Stand-ins for the platform and the back ends, for tests and benches."""

from __future__ import annotations
