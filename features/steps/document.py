"""Steps of the document feature."""

from __future__ import annotations

import hashlib
import signal
import time
from typing import Any

from behave import given, then, when

from hemlockhall_standins.caller import ask, read_stream
from hemlockhall_standins.deployment import Deployment
from hemlockhall_standins.processes import wait_for


def customer(name: str) -> str:
    """Return the text of one more customer."""
    hashed = hashlib.sha256(name.encode()).hexdigest()
    return (
        f'[customers.{name}]\nkey_sha256 = "{hashed}"\npriority = "normal"\n'
        "rate_per_s = 5\nconcurrency = 5\n"
    )


def submit(context: Any, text: str, base: int) -> None:
    """Submit a text; keep what the command said."""
    context.submitted = context.deployment.submit(text, "--base", str(base))


@when('an operator adds customer "{name}"')
def add_customer(context: Any, name: str) -> None:
    submit(context, context.deployment.document() + customer(name), 1)
    assert context.submitted.returncode == 0, context.submitted.stderr


@when('an operator adds customer "{name}" and the store goes down at once')
def add_then_down(context: Any, name: str) -> None:
    context.deployment.fault("table", down_after_write=True)
    add_customer(context, name)


@given("the table service shows readers the rows as they are now")
def stale(context: Any) -> None:
    context.deployment.fault("table", stale=True)


@when('an operator adds customer "{name}" at the version before')
def add_stale(context: Any, name: str) -> None:
    add_customer(context, name)


@when("{seconds:g} seconds of polling have passed")
def let_poll(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@when("the store goes down")
def store_down(context: Any) -> None:
    context.deployment.fault("table", down=True)
    context.deployment.fault("objects", down=True)


@when("entry host {number:d} is killed and replaced")
def replace_entry(context: Any, number: int) -> None:
    deployment: Deployment = context.deployment
    deployment.kill(f"entry-{number}")
    deployment.start_entry(f"entry-{number}")
    deployment.wait_ready(f"entry-{number}")


@when('"{name}" is frozen')
def freeze(context: Any, name: str) -> None:
    context.deployment.signal(name, signal.SIGSTOP)


@when('"{name}" is resumed')
def resume(context: Any, name: str) -> None:
    context.deployment.signal(name, signal.SIGCONT)


@when('team "{team}" submits an edit of "{section}" from version {base:d}')
def team_submits(context: Any, team: str, section: str, base: int) -> None:
    text = context.deployment.document()
    if section == "customers":
        text += customer(team)
    else:
        text += f"[{section}.{team}]\nrank = 2\n"
    submit(context, text, base)


@then("the submission is accepted")
def accepted(context: Any) -> None:
    assert context.submitted.returncode == 0, context.submitted.stderr


@then("the submission is refused and shows both sides")
def refused(context: Any) -> None:
    told = context.submitted.stderr
    assert context.submitted.returncode != 0
    assert "customers changed" in told or "customers" in told, told
    assert "-[customers.one]" in told, told
    assert "+[customers.three]" in told, told


@then("version {version:d} is in force at every process")
def in_force(context: Any, version: int) -> None:
    deployment: Deployment = context.deployment
    names = (*deployment.urls, *deployment.nodes)

    def everywhere() -> bool:
        return all(deployment.status(n)["version"] == version for n in names)

    wait_for(everywhere, f"version {version} everywhere")


@then('"{command}" prints "{text}"')
def prints(context: Any, command: str, text: str) -> None:
    ran = context.deployment.cli(*command.split())
    assert ran.returncode == 0, ran.stderr
    assert text in ran.stdout, ran.stdout


@then('"{command}" prints {count:d} lines')
def prints_lines(context: Any, command: str, count: int) -> None:
    ran = context.deployment.cli(*command.split())
    assert len(ran.stdout.splitlines()) == count, ran.stdout


@then("an answer of {count:d} tokens streams from entry host {number:d}")
def streams(context: Any, count: int, number: int) -> None:
    with context.deployment.client(f"entry-{number}") as client:
        streamed = read_stream(client, ask("Recital notice", count, stream=True))
    assert streamed.done, streamed.error
