"""Logs of a process: a line of JSON or of text for each record."""

from __future__ import annotations

import sys

from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra}"


def configure(process: str, *, level: str, json: bool) -> None:
    """Send records to standard error, each naming the process.

    Parameters
    ----------
    process : str
        Name that each line carries.
    level : str
        Lowest level that is written.
    json : bool
        Write JSON instead of text.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    # ``diagnose`` would print the values of variables, API keys among them.
    if json:
        logger.add(sys.stderr, level=level, serialize=True, diagnose=False)
        return
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False)


__all__ = [
    "configure",
]
