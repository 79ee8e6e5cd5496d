"""State of a model request at one stage of its pipeline."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhalld.process.engine import StepItem

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import Activations, Open, RouteStage
    from hemlockhalld.process.engine import StepResult


class GapError(Exception):
    """Activations were received with positions missing before them."""


@dataclass
class Stage:
    """State of a request at this stage, kept over its attempts.

    ``cached_positions`` counts the positions in the engine's KV cache, and
    ``running_positions`` those in the step under way, or 1 while the first stage
    runs the prompt. ``inputs`` are activations for the next step. ``tokens`` are the
    ids of the known and the new tokens of the response, ``texts`` their texts at the
    last stage (empty for known tokens that were not sampled here) and ``finish`` the
    finish reason, empty before the end. Outputs from position
    ``outputs_start`` on are retained, so that the replacement of a lost next
    stage gets them without running the layers here again; those before
    ``sent_positions`` were sent. With ``awaiting_request`` the next stage has
    not yet requested the positions that it lacks after a retry. ``next_open``
    is an attempt that starts after the step under way.
    """

    open: Open
    deadline: float
    cached_positions: int = 0
    prompt_length: int = 0
    outputs_start: int = 0
    outputs: list[bytes] = field(default_factory=list)
    sent_positions: int = 0
    awaiting_request: bool = False
    inputs: list[bytes] = field(default_factory=list)
    tokens: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    finish: str = ""
    running_positions: int = 0
    next_open: Open | None = None

    @property
    def is_first(self) -> bool:
        """Whether this is the pipeline's first stage."""
        return self.open.stage_index == 0

    @property
    def is_last(self) -> bool:
        """Whether this is the pipeline's last stage."""
        return self.open.stage_index == len(self.open.route) - 1

    @property
    def this_stage(self) -> RouteStage:
        """This stage in the route."""
        return self.open.route[self.open.stage_index]

    @property
    def next_stage(self) -> RouteStage:
        """The next stage; the last is followed by the first."""
        return self.open.route[(self.open.stage_index + 1) % len(self.open.route)]

    @property
    def previous_stage(self) -> RouteStage:
        """The stage before this one."""
        return self.open.route[self.open.stage_index - 1]

    def begin_attempt(self, message: Open) -> None:
        """Start an attempt, reusing the KV cache of earlier attempts."""
        self.open = message
        self.deadline = time.monotonic() + message.expires_in_s
        known = len(message.known_tokens)
        # Positions after the delivered tokens may come from a token that a lost
        # stage sampled and that was never delivered.
        limit = self.prompt_length + known if self.prompt_length else 0
        self.rewind(min(self.cached_positions, limit))
        self.inputs.clear()
        if self.tokens[:known] != message.known_tokens:
            self.tokens = list(message.known_tokens)
            self.texts = [""] * known
        del self.tokens[known + 1 :]
        del self.texts[known + 1 :]
        if self.is_first and not self.is_last:
            del self.tokens[known:]
        self.finish = self.finish if len(self.tokens) > known else ""
        self.awaiting_request = message.resume and not self.is_last
        self.sent_positions = 0

    def rewind(self, length: int) -> None:
        """Discard the positions from ``length`` on; they are computed again."""
        self.cached_positions = length
        if length < self.outputs_start:
            self.outputs_start = length
        del self.outputs[max(0, length - self.outputs_start) :]

    def add_activations(self, message: Activations) -> bool:
        """Queue received activations; return False if all were duplicates.

        Raises :class:`GapError` when positions are missing before them.
        """
        expected = self.cached_positions + self.running_positions + len(self.inputs)
        if message.position > expected:
            msg = f"expected position {expected}, got {message.position}"
            raise GapError(msg)
        repeated = expected - message.position
        new_activations = message.activations[repeated:]
        self.prompt_length = message.prompt_length
        self.inputs.extend(new_activations)
        return bool(new_activations)

    def next_item(self) -> StepItem | None:
        """Return the item for the next step, or None if there is none."""
        # Until the next stage has requested what it lacks, a rewind may follow,
        # and a step under way would append positions that must be computed again.
        if self.running_positions or self.awaiting_request:
            return None
        item = StepItem(
            self.open.request,
            self.open.attempt,
            self.cached_positions,
            self.open.rank,
            self.open.seed,
            self.open.max_tokens,
            self.open.adapter,
            False,
        )
        if self.is_first:
            return self._first_stage_item(item)
        if not self.inputs:
            return None
        item.activations = self.inputs
        item.prompt_length = self.prompt_length
        self.running_positions = len(self.inputs)
        self.inputs = []
        item.sample = self._should_sample()
        return item

    def _first_stage_item(self, item: StepItem) -> StepItem | None:
        if self.cached_positions < self.prompt_length or not self.prompt_length:
            item.text = self.open.prompt
            item.tokens = list(self.tokens)
            self.running_positions = 1
        else:
            start = self.cached_positions - self.prompt_length
            item.tokens = self.tokens[start:]
            item.prompt_length = self.prompt_length
            self.running_positions = len(item.tokens)
        if not self.running_positions:
            return None
        item.sample = self.is_last
        return item

    def _should_sample(self) -> bool:
        # An earlier attempt has sampled the positions before the last known
        # token; sampling them again could give a different response.
        known_positions = self.prompt_length + len(self.tokens)
        return (
            self.is_last
            and self.cached_positions + self.running_positions >= known_positions
        )

    def apply_result(self, result: StepResult) -> None:
        """Apply the result of a step."""
        self.running_positions = 0
        self.cached_positions = result.position + len(result.activations)
        self.prompt_length = result.prompt_length
        if result.token is not None:
            self.tokens.append(result.token.id)
            self.texts.append(result.token.text)
            self.finish = result.token.finish
        if not self.is_last:
            self.outputs.extend(result.activations)

    def take_unsent(self) -> list[bytes]:
        """Return the outputs not yet sent and count them as sent."""
        if self.awaiting_request or self.is_last:
            return []
        unsent = self.outputs[self.sent_positions - self.outputs_start :]
        self.sent_positions = self.outputs_start + len(self.outputs)
        return unsent

    def release_outputs(self) -> int:
        """Release the retained outputs; return their size in bytes.

        Nothing is released while a request of the next stage is awaited.
        """
        if self.awaiting_request:
            return 0
        size = sum(len(output) for output in self.outputs)
        self.outputs_start = self.cached_positions
        self.outputs.clear()
        return size


__all__ = [
    "GapError",
    "Stage",
]
