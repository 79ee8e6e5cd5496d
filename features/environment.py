"""Each scenario gets a deployment of its own, ended afterwards."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Prepare what a scenario leaves behind."""
    context.stack = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Show logs of a failed scenario, and end its processes."""
    deployment = getattr(context, "deployment", None)
    if deployment is not None and scenario.status.name == "failed":
        for name in (*deployment.urls, *deployment.nodes):
            print(f"--- {name}\n{deployment.log(name)[-2000:]}")
    context.stack.close()
    context.deployment = None
