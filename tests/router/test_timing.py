"""Times derived from the time bounds of a deployment."""

from __future__ import annotations

from pathlib import Path

import pytest

from hemlockhall_router.process.setting import (
    BoundsSection,
    SettingsError,
    load_settings,
)
from hemlockhall_router.process.timing import Timing

NAMES = [name for name in vars(Timing) if name.endswith("_s") and name[0] != "_"]
SETTINGS = """
[host]
name = "host-1"
data_centre = "here"
dialect = "standin"
dialect_module = "hemlockhall_standins.router.dialect"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
hosts = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[bounds]
"""


class TestTiming:
    @pytest.mark.parametrize("name", NAMES)
    def test_each_time_scales_with_its_bound(self, name: str) -> None:
        """A time that ignores the bounds would miss them in a faster deployment."""
        usual = Timing(BoundsSection())
        half = Timing(BoundsSection(config_ms=1000, drain_ms=1000, heartbeat_ms=600))
        assert getattr(half, name) == pytest.approx(getattr(usual, name) / 2)

    @pytest.mark.parametrize("config_ms", [500, 1000, 2000, 3000, 4000, 8000])
    def test_a_configuration_arrives_in_time_if_a_hub_dies(
        self, config_ms: float
    ) -> None:
        timing = Timing(BoundsSection(config_ms=config_ms))
        spent_s = timing.host_timeout_s + timing.gossip_interval_s + timing.debounce_s
        assert spent_s < config_ms / 1000
        assert timing.max_staleness_s < config_ms / 1000

    @pytest.mark.parametrize("config_ms", [500, 1000, 2000, 3000, 4000, 8000])
    def test_a_dead_call_is_made_again_within_the_bound(self, config_ms: float) -> None:
        """Guards against a call on a connection that went silent which lasts longer
        than a configuration may be out of date."""
        timing = Timing(BoundsSection(config_ms=config_ms))
        call_s = max(
            timing.long_poll_s + timing.response_timeout_s, timing.read_timeout_s
        )
        assert call_s + timing.retry_max_s < config_ms / 1000

    def test_a_dead_call_is_made_again_within_the_shorter_bound(self) -> None:
        """Guards against requests to an endpoint that began to drain while the calls
        for the table of endpoints were dead: they follow ``drain_ms``."""
        timing = Timing(BoundsSection(config_ms=8000, drain_ms=1000))
        call_s = max(
            timing.long_poll_s + timing.response_timeout_s, timing.read_timeout_s
        )
        assert call_s + timing.retry_max_s < 1.0
        assert timing.max_staleness_s < 1.0


class TestBounds:
    def test_a_bound_of_zero_is_rejected(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS + "drain_ms = 0\n")
        with pytest.raises(SettingsError, match="bounds.drain_ms: must be above 0"):
            load_settings(path)

    def test_bounds_are_loaded(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS + "config_ms = 4000\n")
        assert load_settings(path).bounds.config_ms == 4000

    def test_a_validity_of_zero_is_rejected(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS + "[limits]\nvalidity_s = 0\n")
        with pytest.raises(SettingsError, match="limits.validity_s: must be above 0"):
            load_settings(path)
