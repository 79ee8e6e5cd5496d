"""Tests of the callers' HTTP interface against real processes."""

from __future__ import annotations

import json
import socket
import subprocess
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import httpx
import pynng
import pytest

from hemlockhall_core.request.reason import RefusalReason, RetryReason
from hemlockhall_standins.caller import chat_body, prompt_text
from hemlockhall_standins.deployment import (
    API_KEY,
    LAYERS,
    MODEL,
    Deployment,
    EndpointSpec,
)
from hemlockhall_standins.engine import reference_text

PLANS = [
    EndpointSpec("a1", "tall", "attica-1", 0, LAYERS),
    EndpointSpec("loft-1", "plain", "attica-1", service="booking"),
]
CHAT = "/v1/chat/completions"


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    with Deployment(PLANS, entry_count=1) as running:
        yield running


@pytest.fixture()
def client(deployment: Deployment) -> Iterator[httpx.Client]:
    with deployment.client() as http_client:
        yield http_client


def check_problem(
    response: httpx.Response, reason: RefusalReason, status: int
) -> dict[str, Any]:
    assert response.status_code == status, response.text
    assert response.headers["content-type"] == "application/problem+json"
    body = response.json()
    assert body["reason"] == reason.value
    assert body["type"] == f"urn:hemlockhall:refusal:{reason.value}"
    assert body["ran"] == "no"
    return body


class TestModels:
    def test_adapters_are_listed_as_models(self, client: httpx.Client) -> None:
        listed = [entry["id"] for entry in client.get("/v1/models").json()["data"]]
        assert listed == ["organ-12b", "organ-notices"]

    def test_chat_completion_is_complete(self, client: httpx.Client) -> None:
        response = client.post(CHAT, json=chat_body("Notice", 6, stream=False)).json()
        text = response["choices"][0]["message"]["content"]
        assert text == reference_text(prompt_text("Notice"), 6, LAYERS)
        assert response["usage"] == {
            "prompt_tokens": 3,
            "completion_tokens": 6,
            "total_tokens": 9,
        }

    def test_completion_of_an_adapter_differs_from_its_base_model(
        self, client: httpx.Client
    ) -> None:
        body = {"model": "organ-notices", "prompt": "Notice", "max_tokens": 4}
        response = client.post("/v1/completions", json=body).json()
        assert response["choices"][0]["finish_reason"] == "length"
        plain = reference_text("Notice", 4, LAYERS)
        assert response["choices"][0]["text"] not in ("", plain)

    def test_completion_is_streamed_as_events(self, client: httpx.Client) -> None:
        body = {"model": MODEL, "prompt": "Notice", "max_tokens": 3, "stream": True}
        lines = client.post("/v1/completions", json=body).text.split("\n\n")
        assert lines[-2:] == ["data: [DONE]", ""]
        texts = [json.loads(line[6:])["choices"][0]["text"] for line in lines[:-2]]
        assert "".join(texts) == reference_text("Notice", 3, LAYERS)


class TestRefusals:
    def test_malformed_json_is_refused(self, client: httpx.Client) -> None:
        body = check_problem(
            client.post(CHAT, content=b"{no"), RefusalReason.MALFORMED_BODY, 400
        )
        assert "not JSON" in body["detail"]

    def test_all_errors_of_a_body_are_listed(self, client: httpx.Client) -> None:
        wrong = {"model": 5, "messages": [], "max_tokens": -1}
        body = check_problem(
            client.post(CHAT, json=wrong), RefusalReason.MALFORMED_BODY, 400
        )
        for location in ("model", "messages", "max_tokens"):
            assert location in body["detail"]

    def test_body_over_the_limit_is_refused(self, client: httpx.Client) -> None:
        response = client.post(CHAT, content=b" " * 1_100_000)
        check_problem(response, RefusalReason.BODY_TOO_LARGE, 413)

    def test_unknown_model_is_refused(self, client: httpx.Client) -> None:
        body = chat_body("x", 1, stream=True, model="flute")
        check_problem(client.post(CHAT, json=body), RefusalReason.UNKNOWN_MODEL, 404)

    def test_unknown_api_key_does_not_reach_the_engine(
        self, deployment: Deployment
    ) -> None:
        before = len(deployment.tally("a1")["steps"])
        with deployment.client(key="wrong") as client:
            response = client.post(CHAT, json=chat_body("x", 1, stream=False))
        check_problem(response, RefusalReason.UNAUTHORIZED, 401)
        assert len(deployment.tally("a1")["steps"]) == before

    @pytest.mark.parametrize("text", ["soon", "-1", "0", "1e9", "nan"])
    def test_invalid_deadline_is_refused(self, client: httpx.Client, text: str) -> None:
        headers = {"x-deadline-seconds": text}
        response = client.post(
            CHAT, json=chat_body("x", 1, stream=False), headers=headers
        )
        check_problem(response, RefusalReason.BAD_DEADLINE, 400)

    def test_unknown_path_service_and_call_are_refused(
        self, client: httpx.Client
    ) -> None:
        check_problem(client.get("/v2/things"), RefusalReason.NOT_FOUND, 404)
        check_problem(client.get("/services/x/y"), RefusalReason.UNKNOWN_SERVICE, 404)
        response = client.put("/services/booking/bookings")
        check_problem(response, RefusalReason.CALL_UNDECLARED, 405)

    def test_every_reason_has_a_counter(
        self, deployment: Deployment, client: httpx.Client
    ) -> None:
        client.get("/v2/things")
        text = httpx.get(f"{deployment.admin_urls['entry-1']}/metrics").text
        for refusal in RefusalReason:
            assert f'refusals_total{{reason="{refusal.value}"}}' in text
        for retry in RetryReason:
            assert f'retries_total{{reason="{retry.value}"}}' in text
        assert deployment.counter("entry-1", "refusals", "not_found") >= 1


class TestServices:
    def test_query_body_and_headers_are_forwarded(self, client: httpx.Client) -> None:
        response = client.get("/services/booking/calendar?month=12")
        assert response.json()["q"] == {"month": "12"}
        key = {"idempotency-key": "w-1"}
        booked = client.post("/services/booking/bookings", json=[1], headers=key)
        assert booked.headers["x-service"] == "booking"
        assert booked.json()["what"] == [1]

    @pytest.mark.parametrize("part", ["a%00b", "%7F", "a b", "%C3%A9", "x%3Fy"])
    def test_path_that_needs_escaping_is_forwarded(
        self, client: httpx.Client, part: str
    ) -> None:
        """A path that cannot be used in a URL unescaped must not end the side
        process, which also serves other callers."""
        response = client.get(f"/services/booking/venues/{part}")
        assert response.status_code == 200, response.text
        assert response.json()["venue"] == unquote(part)

    def test_call_without_live_endpoint_is_refused(
        self, deployment: Deployment
    ) -> None:
        deployment.kill("loft-1")
        with deployment.client() as client:
            response = client.get("/services/booking/calendar")
            while response.status_code == 200:
                response = client.get("/services/booking/calendar")
        assert response.json()["reason"] == RefusalReason.NO_ENDPOINT.value
        assert float(response.headers["retry-after"]) >= 1
        deployment.start_side("loft-1")
        deployment.wait_ready("entry-1")


class TestMalformedBatches:
    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x9b" * 11, b"x" * 100_000])
    def test_malformed_batch_is_counted_and_does_not_end_the_process(
        self, deployment: Deployment, client: httpx.Client, data: bytes
    ) -> None:
        before = deployment.counter("a1", "batches", "malformed")
        address = deployment.endpoints["a1"].link
        with pynng.Push0(dial=f"tcp://{address}", block_on_dial=True) as sock:
            sock.send(data)
            response = client.post(CHAT, json=chat_body("Notice", 2, stream=False))
            assert response.status_code == 200
            while deployment.counter("a1", "batches", "malformed") == before:
                assert deployment.is_running("a1")

    def test_bytes_of_another_protocol_do_not_end_the_process(
        self, deployment: Deployment, client: httpx.Client
    ) -> None:
        host, port = deployment.endpoints["a1"].link.split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 50)
        response = client.post(CHAT, json=chat_body("Notice", 2, stream=False))
        assert response.status_code == 200


class TestLogs:
    def test_api_keys_are_not_logged(
        self, deployment: Deployment, client: httpx.Client
    ) -> None:
        client.post(CHAT, json=chat_body("Notice", 2, stream=False))
        client.get("/nowhere")
        for name in ("entry-1", "a1", "loft-1"):
            assert API_KEY not in deployment.read_log(name)


class TestSettings:
    def start(self, deployment: Deployment, path: Path) -> subprocess.CompletedProcess:
        program = deployment.program_path("hemlockhalld")
        args = [program, "side", "--settings", str(path)]
        return subprocess.run(args, capture_output=True, text=True, check=False)

    def test_all_errors_of_the_settings_are_listed(
        self, deployment: Deployment, tmp_path: Path
    ) -> None:
        text = deployment.endpoints["a1"].settings.read_text()
        text = text.replace('kind = "engine"', 'kind = "motor"')
        text = text.replace("step_timeout_s = 2.0", 'step_timeout_s = "long"')
        path = tmp_path / "side.toml"
        path.write_text(text + "colour = 1\n")
        completed = self.start(deployment, path)
        assert completed.returncode == 1
        for location in ("side.kind", "side.step_timeout_s", "side.colour"):
            assert location in completed.stderr

    def test_check_settings_does_not_start_the_process(
        self, deployment: Deployment
    ) -> None:
        program = deployment.program_path("hemlockhalld")
        path = str(deployment.endpoints["a1"].settings)
        args = [program, "side", "--check-settings", "--settings", path]
        completed = subprocess.run(args, capture_output=True, text=True, check=False)
        assert (completed.returncode, completed.stdout) == (
            0,
            f"{path}: settings are valid\n",
        )

    def test_address_in_use_is_reported(self, deployment: Deployment) -> None:
        completed = self.start(deployment, deployment.endpoints["a1"].settings)
        assert completed.returncode == 1
        assert "set link.address to a free address" in completed.stderr
        assert deployment.is_running("a1")
