"""None of ``NAMES`` is used in the other packages and their tests."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
# Headers, paths, fields and other names of the platform that must not be used there.
NAMES = re.compile(
    r"x-hemlockhall|at-server|api/(?:readyz|report|order|rows|blob)"
    r"|attempt-id|server-stamp|server-(?:limit|leaving)|hop-count|kvTotal|latencyGoalMs|maxAttempts"
    r"|HEMLOCKHALL_BOOT|apiKeys|coldLeftMs|rows-tx",
    re.IGNORECASE,
)


class TestNames:
    def test_no_module_outside_the_package_contains_them(self) -> None:
        found = []
        for folder in ("packages", "features", "tests/router", "tests/core"):
            for path in sorted((ROOT / folder).rglob("*.py")):
                if "build" in path.parts:
                    continue
                for number, line in enumerate(path.read_text().splitlines(), 1):
                    if NAMES.search(line):
                        found.append(f"{path.relative_to(ROOT)}:{number}: {line}")
        assert found == []

    def test_the_folder_does_not_shadow_the_standard_platform_module(self) -> None:
        assert not (ROOT / "platform" / "__init__.py").exists()
