"""Benchmarks; those with a naive variant alternate it with the normal one."""

from __future__ import annotations
