"""The bodies that callers of models send, validated."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockhall_core.request.reason import RefusalReason
from hemlockhalld.request.problem import Problem


class Part(BaseModel):
    """A part of a message; only text can be used."""

    type: Literal["text"]
    text: str


class ChatMessage(BaseModel):
    """One message of a conversation."""

    role: str
    content: str | list[Part] | None = None

    def text(self) -> str:
        """Return the message's text."""
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ModelBody(BaseModel):
    """What chat and plain completions have in common.

    Other members of the protocol are accepted and not used.
    """

    model_config = ConfigDict(extra="ignore")

    model: str
    stream: bool = False
    max_tokens: Annotated[int, Field(gt=0)] | None = None
    max_completion_tokens: Annotated[int, Field(gt=0)] | None = None
    seed: int = 0
    n: Literal[1] = 1

    def prompt_text(self) -> str:
        """Return the prompt as one text."""
        raise NotImplementedError


class ChatBody(ModelBody):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[ChatMessage], Field(min_length=1)]

    def prompt_text(self) -> str:
        """Return the conversation as one text, each turn with its role."""
        turns = [f"{m.role}: {m.text()}" for m in self.messages]
        return "\n".join(turns) + "\nassistant:"


class CompletionBody(ModelBody):
    """Body of ``/v1/completions``."""

    prompt: str

    def prompt_text(self) -> str:
        """Return the prompt."""
        return self.prompt


def parse_body(body_type: type[ModelBody], data: bytes) -> ModelBody:
    """Return a validated body; raise :class:`Problem` listing every fault."""
    try:
        raw: Any = msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        detail = f"the body is not JSON: {exc}"
        raise Problem(RefusalReason.MALFORMED_BODY, detail) from exc
    try:
        return body_type.model_validate(raw)
    except ValidationError as exc:
        faults = []
        for error in exc.errors():
            location = ".".join(str(part) for part in error["loc"]) or "body"
            faults.append(f"{location}: {error['msg']}")
        raise Problem(RefusalReason.MALFORMED_BODY, "; ".join(faults)) from exc


__all__ = [
    "ChatBody",
    "CompletionBody",
    "ModelBody",
    "parse_body",
]
