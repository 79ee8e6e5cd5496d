"""The document: format, validation, versions and distribution."""

from __future__ import annotations
