"""What lives as long as one version of the document."""

from __future__ import annotations
