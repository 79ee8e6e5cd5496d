"""Shared by the tests of the router."""

from __future__ import annotations

import pytest
from loguru import logger


@pytest.fixture()
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True, scope="session")
def quiet_log() -> None:
    logger.remove()
