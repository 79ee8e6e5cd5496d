"""The demo: the whole path as separate processes, and one failure."""

from __future__ import annotations

import json
import signal
import sys

from hemlockhall_standins.caller import ask, read_stream
from hemlockhall_standins.deployment import API_KEY, Deployment, two_pipelines

TOKENS = 40
KILL_AFTER = 10


def used_stage(deployment: Deployment, names: list[str]) -> str:
    """Return the one of ``names`` that has a request in flight."""
    for name in names:
        if deployment.status(name)["in_flight"]:
            return name
    raise SystemExit("demo: no stage has a request in flight")


def show_answers(deployment: Deployment) -> None:
    """Stream an answer; stream it again while a stage is killed."""
    with deployment.client() as client:
        body = ask("Recital notice for Sunday", TOKENS, stream=True)
        calm = read_stream(client, body)
        print(f"streamed {calm.tokens} tokens through three stages")

        def kill() -> None:
            victim = used_stage(deployment, ["a2", "b2"])
            deployment.kill(victim)
            print(f"killed the side process of {victim} at token {KILL_AFTER}")

        hurt = read_stream(client, body, {KILL_AFTER: kill})
        if not hurt.done or hurt.text != calm.text:
            raise SystemExit("demo: the answer after the kill differs")
        print(f"the answer arrived whole: {hurt.tokens} tokens, the same text")


def show_booking(deployment: Deployment) -> None:
    """Book once, repeat with the same key at the other entry host."""
    body = {"venue": "St Nikolaos", "loft": 2}
    key = {"idempotency-key": "booking-7"}
    with deployment.client("entry-1") as client:
        first = client.post("/services/booking/bookings", json=body, headers=key)
    with deployment.client("entry-2") as client:
        again = client.post("/services/booking/bookings", json=body, headers=key)
    tally = deployment.tally("loft-1")["bookings"]
    if first.status_code != 201 or first.content != again.content or tally != 1:
        raise SystemExit(f"demo: booking: {first.text} {again.text} {tally}")
    print(f"booked once, repeated with the same key: same answer, tally {tally}")


def drain(deployment: Deployment) -> None:
    """Drain every process and check that each ends by itself."""
    names = [n for n in (*deployment.urls, *deployment.nodes) if deployment.running(n)]
    for name in names:
        deployment.signal(name, signal.SIGTERM)
    for name in names:
        code = deployment.exit_code(name)
        if code != 0:
            raise SystemExit(f"demo: {name} ended with {code}")
    print(f"drained {len(names)} processes")


def stay(deployment: Deployment) -> None:
    """Print how to use the deployment and leave it running."""
    for name, url in deployment.urls.items():
        print(f"{name}: {url}  administration: {deployment.admin_urls[name]}")
    print(f"table service: {deployment.platform('table')}")
    print(f"object store: {deployment.platform('objects')}")
    print(f"API key: {API_KEY}\nfor example:")
    body = json.dumps(ask("Recital notice", 12, stream=True))
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
            stay(deployment)
            return
        show_answers(deployment)
        show_booking(deployment)
        drain(deployment)
    print("demo: ok")


if __name__ == "__main__":
    main()
