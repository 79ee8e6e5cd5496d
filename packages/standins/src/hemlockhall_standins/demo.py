"""Demo: the system as separate processes, with one failure."""

from __future__ import annotations

import json
import signal
import sys

from hemlockhall_standins.caller import chat_body, read_stream
from hemlockhall_standins.deployment import API_KEY, Deployment, two_pipelines

TOKENS = 40
KILL_AT_TOKEN = 10


def endpoint_in_use(deployment: Deployment, names: list[str]) -> str:
    """Return the endpoint of ``names`` that has a request in flight."""
    for name in names:
        if deployment.status(name)["in_flight"]:
            return name
    raise SystemExit("demo: no stage has a request in flight")


def show_failover(deployment: Deployment) -> None:
    """Stream a response twice, the second time while a stage is killed."""
    with deployment.client() as client:
        body = chat_body("Recital notice for Sunday", TOKENS, stream=True)
        baseline = read_stream(client, body)
        print(f"streamed {baseline.tokens} tokens through three stages")

        def kill() -> None:
            endpoint = endpoint_in_use(deployment, ["a2", "b2"])
            deployment.kill(endpoint)
            print(f"killed the side process of {endpoint} at token {KILL_AT_TOKEN}")

        interrupted = read_stream(client, body, {KILL_AT_TOKEN: kill})
        if not interrupted.done or interrupted.text != baseline.text:
            raise SystemExit(
                "demo: the response after the kill differs from the first one"
            )
        print(f"the response is complete: {interrupted.tokens} tokens, the same text")


def show_idempotency(deployment: Deployment) -> None:
    """Book once, then repeat with the same idempotency key at the other entry host."""
    body = {"venue": "St Nikolaos", "loft": 2}
    key = {"idempotency-key": "booking-7"}
    with deployment.client("entry-1") as client:
        first = client.post("/services/booking/bookings", json=body, headers=key)
    with deployment.client("entry-2") as client:
        repeated = client.post("/services/booking/bookings", json=body, headers=key)
    tally = deployment.tally("loft-1")["bookings"]
    if first.status_code != 201 or first.content != repeated.content or tally != 1:
        raise SystemExit(f"demo: booking: {first.text} {repeated.text} {tally}")
    print(f"booked once, repeated with the same key: same response, tally {tally}")


def drain(deployment: Deployment) -> None:
    """Send SIGTERM to every process and check that each exits with 0."""
    names = [
        n for n in (*deployment.urls, *deployment.endpoints) if deployment.is_running(n)
    ]
    for name in names:
        deployment.send_signal(name, signal.SIGTERM)
    for name in names:
        code = deployment.exit_code(name)
        if code != 0:
            raise SystemExit(f"demo: {name} ended with {code}")
    print(f"drained {len(names)} processes")


def keep_running(deployment: Deployment) -> None:
    """Print how to use the deployment and keep it running until interrupted."""
    for name, url in deployment.urls.items():
        print(f"{name}: {url}  administration: {deployment.admin_urls[name]}")
    print(f"table service: {deployment.standin_url('table')}")
    print(f"object store: {deployment.standin_url('objects')}")
    print(f"API key: {API_KEY}\nfor example:")
    body = json.dumps(chat_body("Recital notice", 12, stream=True))
    print(
        f"curl -N {deployment.urls['entry-1']}/v1/chat/completions "
        f"-H 'Authorization: Bearer {API_KEY}' -d '{body}'"
    )
    print("Ctrl-C ends it")
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        signal.pause()
    except KeyboardInterrupt:
        print("ending")


def main() -> None:
    """Run the demo."""
    with Deployment(two_pipelines()) as deployment:
        print("started 2 entry hosts, 7 endpoints, 3 platform stand-ins")
        if "--stay" in sys.argv[1:]:
            keep_running(deployment)
            return
        show_failover(deployment)
        show_idempotency(deployment)
        drain(deployment)
    print("demo: ok")


if __name__ == "__main__":
    main()
