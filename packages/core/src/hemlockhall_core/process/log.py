"""Log output of a process, as JSON lines or text."""

from __future__ import annotations

import sys

from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra}"


def configure(process: str, *, level: str, json: bool) -> None:
    """Write log records to standard error.

    Parameters
    ----------
    process : str
        Name of the process, added to each record.
    level : str
        Lowest level that is written.
    json : bool
        Write JSON lines instead of text.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    # ``diagnose`` would print the values of variables, including API keys.
    if json:
        logger.add(sys.stderr, level=level, serialize=True, diagnose=False)
        return
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, diagnose=False)


__all__ = [
    "configure",
]
