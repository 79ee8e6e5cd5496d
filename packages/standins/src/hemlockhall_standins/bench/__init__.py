"""Benches: each alternates the naive version with ours in one run."""

from __future__ import annotations
