"""Request bodies of model requests, and their validation."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockhall_core.connection.decoding import DecodeError, decoding
from hemlockhall_core.request.reason import RefusalReason
from hemlockhalld.request.problem import Problem


class Part(BaseModel):
    """A part of a message; only text is supported."""

    type: Literal["text"]
    text: str


class ChatMessage(BaseModel):
    """One message of a conversation."""

    role: str
    content: str | list[Part] | None = None

    def text(self) -> str:
        """Return the text of all parts."""
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ModelBody(BaseModel):
    """Fields that chat and text completions have in common.

    Other fields of the OpenAI API are accepted and ignored.
    """

    model_config = ConfigDict(extra="ignore")

    model: str
    stream: bool = False
    max_tokens: Annotated[int, Field(gt=0)] | None = None
    max_completion_tokens: Annotated[int, Field(gt=0)] | None = None
    seed: int = 0
    n: Literal[1] = 1

    def prompt_text(self) -> str:
        """Return the prompt as one string."""
        raise NotImplementedError


class ChatBody(ModelBody):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[ChatMessage], Field(min_length=1)]

    def prompt_text(self) -> str:
        """Return the conversation as one string, each message with its role."""
        turns = [f"{m.role}: {m.text()}" for m in self.messages]
        return "\n".join(turns) + "\nassistant:"


class CompletionBody(ModelBody):
    """Body of ``/v1/completions``."""

    prompt: str

    def prompt_text(self) -> str:
        """Return the prompt."""
        return self.prompt


def parse_body(body_type: type[ModelBody], data: bytes) -> ModelBody:
    """Return the validated body; raise :class:`Problem` with all errors."""
    try:
        with decoding("body"):
            raw: Any = msgspec.json.decode(data)
    except DecodeError as exc:
        detail = f"the body is not JSON: {exc}"
        raise Problem(RefusalReason.MALFORMED_BODY, detail) from exc
    try:
        return body_type.model_validate(raw)
    except ValidationError as exc:
        messages = []
        for error in exc.errors():
            location = ".".join(str(part) for part in error["loc"]) or "body"
            messages.append(f"{location}: {error['msg']}")
        raise Problem(RefusalReason.MALFORMED_BODY, "; ".join(messages)) from exc


__all__ = [
    "ChatBody",
    "CompletionBody",
    "ModelBody",
    "parse_body",
]
