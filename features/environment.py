"""Hooks of behave: each scenario has its own deployment, stopped at its end."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the stack of what the scenario must clean up."""
    context.stack = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Print the logs if the scenario failed, and stop its processes."""
    deployment = getattr(context, "deployment", None)
    if deployment is not None and scenario.status.name == "failed":
        for name in (*deployment.urls, *deployment.endpoints):
            print(f"--- {name}\n{deployment.read_log(name)[-2000:]}")
    context.stack.close()
    context.deployment = None
