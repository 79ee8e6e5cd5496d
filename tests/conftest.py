"""Every run draws the same examples and knows no time limit for one."""

from __future__ import annotations

import pytest
from hypothesis import settings
from loguru import logger

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


@pytest.fixture()
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True, scope="session")
def quiet_log() -> None:
    logger.remove()
