"""Steps of the pipeline feature alone."""

from __future__ import annotations

import signal
from typing import Any

from behave import then, when
from common import PROMPT

from hemlockhall_standins.caller import ask, read_stream


@when("the frozen process is resumed")
def resume(context: Any) -> None:
    context.deployment.signal(context.victim, signal.SIGCONT)


@when("the killed side process is replaced")
def replace(context: Any) -> None:
    context.deployment.start_side(context.victim)


@then("an answer streamed now is whole and the same")
def again(context: Any) -> None:
    with context.deployment.client() as client:
        body = ask(PROMPT, context.calm.tokens, stream=True)
        streamed = read_stream(client, body)
    assert streamed.done
    assert streamed.text == context.calm.text
