"""Tests of the validation of the document."""

from __future__ import annotations

import pytest

from hemlockhall_core.version.document import build, validate
from hemlockhall_core.version.error import DocumentError

KEY = "a" * 64
VALID = f"""\
[models.organ]
version = "1"
layers = 4
[priorities.normal]
rank = 1
[customers.parish]
key_sha256 = "{KEY}"
priority = "normal"
rate_per_s = 5
concurrency = 2
[services.booking]
calls = [{{method = "POST", path = "/bookings/*", idempotent = false}}]
[endpoints.a1]
address = "10.0.0.1:7000"
data_centre = "attica-1"
model = "organ"
layers = [0, 4]
"""
INVALID = """\
[models.organ]
version = 1
layers = 0
[priorities.normal]
rank = -1
[customers.parish]
key_sha256 = "short"
priority = "normal"
rate_per_s = "many"
concurrency = 2
colour = "red"
[endpoints.a1]
address = "organ.example:7000"
layers = [0]
[services.booking]
calls = []
[venues.loft]
name = "x"
"""


class TestValidate:
    def test_a_valid_document_passes(self) -> None:
        assert validate(VALID).models["organ"].layers == 4

    def test_every_error_is_reported_with_its_line(self) -> None:
        with pytest.raises(DocumentError) as caught:
            validate(INVALID)
        lines = [fault.line for fault in caught.value.faults]
        assert sorted(lines) == [2, 3, 5, 7, 9, 11, 12, 13, 14, 16, 17]

    @pytest.mark.parametrize(
        ("old", "new", "error"),
        [
            ('model = "organ"', 'model = "flute"', "no model 'flute'"),
            ('priority = "normal"', 'priority = "high"', "no priority 'high'"),
            ("layers = [0, 4]", "layers = [0, 9]", "not a range within 0 to 4"),
            ("layers = [0, 4]", "", "needs layers"),
            ('model = "organ"', "", "needs either model and layers, or service"),
        ],
    )
    def test_an_invalid_reference_or_layer_range_is_reported(
        self, old: str, new: str, error: str
    ) -> None:
        with pytest.raises(DocumentError, match=error.replace("[", r"\[")):
            validate(VALID.replace(old, new))


class TestBuild:
    def test_a_rule_with_a_wildcard_matches_a_prefix(self) -> None:
        service = build(VALID, 3).services["booking"]
        rule = service.find_rule("POST", "/bookings/7")
        assert rule is not None
        assert not rule.idempotent
        assert service.find_rule("GET", "/bookings/7") is None

    def test_customers_are_keyed_by_the_digest_of_their_key(self) -> None:
        assert build(VALID, 3).customers[KEY].name == "parish"
