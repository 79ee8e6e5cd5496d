"""Simulated platform services and back ends, for demos, tests and benchmarks."""

from __future__ import annotations
