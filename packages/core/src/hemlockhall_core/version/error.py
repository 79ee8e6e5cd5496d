"""Errors of the document and of submissions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """An error in a document: its place and line, what is wrong and the fix.

    ``section`` is the dotted path of the section, entry and key, or ``document``.
    """

    section: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return the line that is shown to the operator."""
        return f"line {self.line}: [{self.section}] {self.text}"


class DocumentError(Exception):
    """A document is not valid; ``faults`` lists all errors."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SubmitError(Exception):
    """A submission was not accepted, or an accepted version could not be read."""


class SectionConflictError(SubmitError):
    """The same sections were changed by another submission; see ``diff``."""

    def __init__(self, sections: list[str], diff: str) -> None:
        names = ", ".join(sections)
        super().__init__(
            f"sections changed by another submission since your base: {names}; get "
            f"the current text with 'hemlockhall show', edit it and submit\n{diff}"
        )
        self.sections = sections
        self.diff = diff


class SubmitUnknownError(SubmitError):
    """It is not known whether the submission was accepted."""


__all__ = [
    "DocumentError",
    "Fault",
    "SectionConflictError",
    "SubmitError",
    "SubmitUnknownError",
]
