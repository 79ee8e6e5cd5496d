"""Steps of the document feature."""

from __future__ import annotations

import hashlib
import signal
import time
from typing import Any

from behave import given, then, when

from hemlockhall_standins.caller import chat_body, read_stream
from hemlockhall_standins.deployment import Deployment
from hemlockhall_standins.processes import wait_for


def customer(name: str) -> str:
    """Return the TOML section of a customer."""
    hashed = hashlib.sha256(name.encode()).hexdigest()
    return (
        f'[customers.{name}]\nkey_sha256 = "{hashed}"\npriority = "normal"\n'
        "rate_per_s = 5\nconcurrency = 5\n"
    )


def submit(context: Any, text: str, base: int) -> None:
    """Submit a document and keep the result of the command."""
    context.submitted = context.deployment.submit(text, "--base", str(base))


@when('an operator adds customer "{name}"')
def add_customer(context: Any, name: str) -> None:
    submit(context, context.deployment.document() + customer(name), 1)
    assert context.submitted.returncode == 0, context.submitted.stderr


@when('an operator adds customer "{name}" and the store goes down at once')
def add_then_down(context: Any, name: str) -> None:
    context.deployment.set_faults("table", down_after_write=True)
    add_customer(context, name)


@given("the table service shows readers the rows as they are now")
def stale(context: Any) -> None:
    context.deployment.set_faults("table", stale=True)


@when('an operator adds customer "{name}" based on the version before')
def add_stale(context: Any, name: str) -> None:
    add_customer(context, name)


@when("{seconds:g} seconds of polling have passed")
def let_poll(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@when("the store goes down")
def store_down(context: Any) -> None:
    context.deployment.set_faults("table", down=True)
    context.deployment.set_faults("objects", down=True)


@when("entry host {number:d} is killed and replaced")
def replace_entry(context: Any, number: int) -> None:
    deployment: Deployment = context.deployment
    deployment.kill(f"entry-{number}")
    deployment.start_entry(f"entry-{number}")
    deployment.wait_ready(f"entry-{number}")


@when('"{name}" is frozen')
def freeze(context: Any, name: str) -> None:
    context.deployment.send_signal(name, signal.SIGSTOP)


@when('"{name}" is resumed')
def resume(context: Any, name: str) -> None:
    context.deployment.send_signal(name, signal.SIGCONT)


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
    stderr = context.submitted.stderr
    assert context.submitted.returncode != 0
    assert "customers changed" in stderr or "customers" in stderr, stderr
    assert "-[customers.one]" in stderr, stderr
    assert "+[customers.three]" in stderr, stderr


@then("version {version:d} is in force at every process")
def in_force(context: Any, version: int) -> None:
    deployment: Deployment = context.deployment
    names = (*deployment.urls, *deployment.endpoints)

    def everywhere() -> bool:
        return all(deployment.status(n)["version"] == version for n in names)

    wait_for(everywhere, f"version {version} everywhere")


@then('"{command}" prints "{text}"')
def prints(context: Any, command: str, text: str) -> None:
    completed = context.deployment.cli(*command.split())
    assert completed.returncode == 0, completed.stderr
    assert text in completed.stdout, completed.stdout


@then('"{command}" prints {count:d} lines')
def prints_lines(context: Any, command: str, count: int) -> None:
    completed = context.deployment.cli(*command.split())
    assert len(completed.stdout.splitlines()) == count, completed.stdout


@then("a response of {count:d} tokens streams from entry host {number:d}")
def streams(context: Any, count: int, number: int) -> None:
    with context.deployment.client(f"entry-{number}") as client:
        result = read_stream(client, chat_body("Recital notice", count, stream=True))
    assert result.done, result.error
