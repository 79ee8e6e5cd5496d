"""Commands whose input another writer has part in."""

from __future__ import annotations

import json
from pathlib import Path

import httpx
import pytest
from click.testing import CliRunner

from hemlockhall_cli.main import main
from hemlockhall_standins.foreign import VALUES

ADDRESSES = {
    "HEMLOCKHALL_TABLE": "http://store",
    "HEMLOCKHALL_OBJECTS": "http://store",
    "HEMLOCKHALL_ENTRIES": "http://entry",
}
REVISION = {"version": 3, "digests": {}, "submit": "s", "who": "team", "when": "now"}


class Responses:
    """Lets all requests of the commands get one text as response."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.text = ""
        transport = httpx.MockTransport(lambda _: httpx.Response(200, text=self.text))
        client = httpx.AsyncClient

        def asynchronous(**arguments: object) -> httpx.AsyncClient:
            return client(**{**arguments, "transport": transport})  # type: ignore[arg-type]

        monkeypatch.setattr(httpx, "AsyncClient", asynchronous)
        for method in ("get", "post"):
            send = getattr(httpx.Client(transport=transport), method)
            monkeypatch.setattr(
                httpx,
                method,
                lambda url, send=send, timeout=5.0, **more: send(url, **more),
            )

    def run(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit status and output."""
        result = CliRunner().invoke(main, arguments, env=ADDRESSES)
        if result.exception is not None:
            assert isinstance(result.exception, SystemExit), result.exception
        return result.exit_code, result.output


@pytest.fixture()
def responses(monkeypatch: pytest.MonkeyPatch) -> Responses:
    return Responses(monkeypatch)


class TestForeignInput:
    @pytest.mark.parametrize("value", VALUES)
    def test_history_lists_the_versions_beside_an_odd_row(
        self, value: str, responses: Responses
    ) -> None:
        """Guards against a history that cannot be listed for one row in it."""
        row = json.dumps({"key": "a", "value": REVISION, "version": 1})
        odd = f'{{"key":"b","value":{value},"version":2}}'
        responses.text = f"[{odd},{row},{value}]"
        code, output = responses.run("history")
        assert code == 0
        assert "3  now  team" in output

    @pytest.mark.parametrize("value", VALUES)
    def test_a_head_that_is_odd_is_reported(
        self, value: str, responses: Responses, tmp_path: Path
    ) -> None:
        """Guards against a traceback in place of an error that says what to do."""
        document = tmp_path / "document.toml"
        document.write_text("[priorities.normal]\nrank = 1\n")
        responses.text = f'{{"key":"head","value":{value},"version":1}}'
        for command in ("submit", "diff"):
            code, output = responses.run(command, str(document))
            assert code == 1
            assert "Error" in output

    @pytest.mark.parametrize("value", [*VALUES, "not JSON", '{"name":"a"}'])
    def test_a_status_that_cannot_be_read_is_no_answer(
        self, value: str, responses: Responses
    ) -> None:
        responses.text = value
        for arguments in (("status",), ("watch", "--count", "1")):
            code, output = responses.run(*arguments)
            assert code == 0
            assert "no answer" in output

    def test_a_version_of_many_digits_is_reported(
        self, responses: Responses, tmp_path: Path
    ) -> None:
        document = tmp_path / "document.toml"
        document.write_text("# hemlockhall version %s\n\n" % ("9" * 5000))
        code, output = responses.run("submit", str(document))
        assert code == 1
        assert "version" in output
