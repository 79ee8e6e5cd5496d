"""Response formats of models: complete responses and streamed events."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from hemlockhalld.request.problem import Problem

DONE = b"data: [DONE]\n\n"


class Choice(msgspec.Struct, omit_defaults=True):
    """The single choice of a response or an event."""

    index: int
    finish_reason: str | None
    message: Any = msgspec.UNSET
    delta: Any = msgspec.UNSET
    text: str | msgspec.UnsetType = msgspec.UNSET


class Usage(msgspec.Struct):
    """Token counts of a response."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct, omit_defaults=True):
    """A complete response, or one event of a streamed response."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class ChatText(msgspec.Struct, omit_defaults=True):
    """A message, or the delta of a message."""

    content: str
    role: str | None = None


class ResponseFormat(ABC):
    """Base of the formats; each encodes the responses of one URL.

    Parameters
    ----------
    request : str
        Id of the request.
    model : str
        Name of the model in the request.
    """

    response_object: str
    event_object: str

    def __init__(self, request: str, model: str) -> None:
        self._id = f"cmpl-{request}"
        self._model = model
        self._created = int(time.time())

    @abstractmethod
    def response_choice(self, text: str, finish: str) -> Choice:
        """Return the choice of a complete response."""

    @abstractmethod
    def event_choice(self, text: str, first: bool, finish: str | None) -> Choice:
        """Return the choice of an event."""

    def encode_response(
        self, text: str, finish: str, prompt: int, completion: int
    ) -> bytes:
        """Return a complete response as JSON."""
        usage = Usage(prompt, completion, prompt + completion)
        return self._encode(
            self.response_object, self.response_choice(text, finish), usage
        )

    def encode_event(self, text: str, first: bool, finish: str | None) -> bytes:
        """Return one server-sent event with the next text."""
        choice = self.event_choice(text, first, finish)
        return b"data: " + self._encode(self.event_object, choice, None) + b"\n\n"

    def _encode(self, object_type: str, choice: Choice, usage: Usage | None) -> bytes:
        response = Completion(
            self._id, object_type, self._created, self._model, [choice], usage
        )
        return msgspec.json.encode(response)


class ChatFormat(ResponseFormat):
    """Responses of ``/v1/chat/completions``."""

    response_object = "chat.completion"
    event_object = "chat.completion.chunk"

    def response_choice(self, text: str, finish: str) -> Choice:
        """Return the choice with a message."""
        return Choice(0, finish, message=ChatText(text, "assistant"))

    def event_choice(self, text: str, first: bool, finish: str | None) -> Choice:
        """Return the choice with a delta; the first one has the role."""
        return Choice(0, finish, delta=ChatText(text, "assistant" if first else None))


class TextFormat(ResponseFormat):
    """Responses of ``/v1/completions``."""

    response_object = "text_completion"
    event_object = "text_completion"

    def response_choice(self, text: str, finish: str) -> Choice:
        """Return the choice with a text."""
        return Choice(0, finish, text=text)

    def event_choice(self, text: str, first: bool, finish: str | None) -> Choice:
        """Return the choice with the next text."""
        return Choice(0, finish, text=text)


class ModelEntry(msgspec.Struct):
    """A model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "hemlockhall"


class ModelList(msgspec.Struct):
    """Body of the response to ``/v1/models``."""

    data: list[ModelEntry]
    object: str = "list"


def error_event(problem: Problem) -> bytes:
    """Return the event that ends a failed stream."""
    return b'data: {"error":' + problem.body() + b"}\n\n"


__all__ = [
    "DONE",
    "ChatFormat",
    "ModelEntry",
    "ModelList",
    "ResponseFormat",
    "TextFormat",
    "error_event",
]
