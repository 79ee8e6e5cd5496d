"""Errors of the document and of its submission."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Fault:
    """One fault of a document: where it is, what is wrong, what to do."""

    section: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"line {self.line}: [{self.section}] {self.text}"


class DocumentError(Exception):
    """A document is not valid; ``faults`` holds all that is wrong."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SubmitError(Exception):
    """A submission was not accepted."""


class SectionConflictError(SubmitError):
    """Somebody else changed the same sections; ``diff`` shows both sides."""

    def __init__(self, sections: list[str], diff: str) -> None:
        names = ", ".join(sections)
        super().__init__(
            f"sections changed by somebody else since your base: {names}; take "
            f"the present text with 'hemlockhall show', edit it and submit\n{diff}"
        )
        self.sections = sections
        self.diff = diff


class SubmitUnknownError(SubmitError):
    """The store did not say whether the submission took effect."""


__all__ = [
    "DocumentError",
    "Fault",
    "SectionConflictError",
    "SubmitError",
    "SubmitUnknownError",
]
