"""Steps of the leaving feature."""

from __future__ import annotations

import signal
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import httpx
from behave import then, when

from hemlockhall_standins.caller import StreamResult, chat_body, read_stream
from hemlockhall_standins.deployment import Deployment
from hemlockhall_standins.processes import responds_ok

PROMPT = "Programme notes"


@when('"{name}" is leaving by {way}')
def leave(context: Any, name: str, way: str) -> None:
    deployment: Deployment = context.deployment
    if way.startswith("the drain command"):
        deployment.set_faults("table", down=True)
        completed = deployment.cli("drain", name)
        assert completed.returncode == 0, completed.stderr
    elif way == "a mark in the host list":
        url = f"{deployment.standin_url('hosts')}/hosts/{name}"
        httpx.put(url, json={"state": "leaving"}).raise_for_status()
    elif way == "removal from the document":
        text = deployment.document(exclude=(name,))
        completed = deployment.submit(text, "--base", "1")
        assert completed.returncode == 0, completed.stderr
    elif way == "SIGTERM":
        deployment.send_signal(name, signal.SIGTERM)
    elif way == "a kill":
        deployment.kill(name)
    elif way == "a freeze":
        deployment.send_signal(name, signal.SIGSTOP)
    else:
        raise AssertionError(way)
    context.leaving = name


@when("{seconds:g} seconds have passed")
def let_pass(context: Any, seconds: float) -> None:
    time.sleep(seconds)


@when("{count:d} responses of {tokens:d} tokens are asked for at each entry host")
def ask_many(context: Any, count: int, tokens: int) -> None:
    context.steps_before = len(context.deployment.tally(context.leaving)["steps"])
    context.streams = []
    for entry in context.deployment.urls:
        with context.deployment.client(entry) as client:
            for _ in range(count):
                body = chat_body(PROMPT, tokens, stream=True)
                context.streams.append(read_stream(client, body))


@then("all of them are complete")
def all_complete(context: Any) -> None:
    errors = [s.error for s in context.streams if not s.done]
    assert not errors, errors
    assert len({s.text for s in context.streams}) == 1


@then('the engine of "{name}" ran none of them')
def ran_no_steps(context: Any, name: str) -> None:
    steps = len(context.deployment.tally(name)["steps"])
    assert steps == context.steps_before, f"{steps - context.steps_before} steps"


@dataclass
class StreamingCallers:
    """Threads, each of which streams one response after another."""

    deployment: Deployment
    tokens: int
    stop: threading.Event = field(default_factory=threading.Event)
    streams: list[StreamResult] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self, count: int) -> None:
        """Start the threads."""
        for number in range(count):
            thread = threading.Thread(target=self._run, args=(number,))
            thread.start()
            self.threads.append(thread)

    def _run(self, number: int) -> None:
        while not self.stop.is_set():
            entry = self._ready_entry(number)
            try:
                with self.deployment.client(entry) as client:
                    body = chat_body(PROMPT, self.tokens, stream=True)
                    result = read_stream(client, body)
            except httpx.HTTPError as exc:
                self.failures.append(f"{entry}: {exc!r}")
                continue
            self.streams.append(result)
            if not result.done:
                self.failures.append(f"{entry}: {result.error}")

    def _ready_entry(self, number: int) -> str:
        names = list(self.deployment.urls)
        while True:
            for offset in range(len(names)):
                name = names[(number + offset) % len(names)]
                if responds_ok(f"{self.deployment.urls[name]}/readyz"):
                    return name


@when("{count:d} callers stream responses of {tokens:d} tokens without a pause")
def start_callers(context: Any, count: int, tokens: int) -> None:
    context.callers = StreamingCallers(context.deployment, tokens)
    context.stack.callback(context.callers.stop.set)
    context.callers.start(count)
    time.sleep(1.0)


@when("each side process and each entry host is restarted in turn")
def restart_all(context: Any) -> None:
    deployment: Deployment = context.deployment
    for name in (*deployment.endpoints, *deployment.urls):
        deployment.send_signal(name, signal.SIGTERM)
        code = deployment.exit_code(name)
        assert code == 0, f"{name} ended with {code}"
        if name in deployment.urls:
            deployment.start_entry(name)
        else:
            deployment.start_side(name)
        for entry in deployment.urls:
            deployment.wait_ready(entry)


@when("the callers end")
def end_callers(context: Any) -> None:
    context.callers.stop.set()
    for thread in context.callers.threads:
        thread.join()


@then("no caller's request failed or was cut off")
def none_failed(context: Any) -> None:
    callers: StreamingCallers = context.callers
    assert len(callers.streams) > len(callers.threads)
    assert not callers.failures, callers.failures
    assert len({s.text for s in callers.streams}) == 1
