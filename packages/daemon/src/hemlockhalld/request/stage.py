"""One model request at one stage of its pipeline."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hemlockhalld.process.engine import Item

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import Activations, Open, RouteStage
    from hemlockhalld.process.engine import Result


class GapError(Exception):
    """A hop left out positions."""


@dataclass
class Stage:
    """State of a request here, kept over its attempts.

    ``length`` counts the positions in the engine's KV cache. Outputs from
    position ``base`` on are retained, so that after the loss of the next
    stage its successor gets them without a second run of the layers here.
    """

    open: Open
    deadline: float
    length: int = 0
    prompt_length: int = 0
    base: int = 0
    outputs: list[bytes] = field(default_factory=list)
    sent: int = 0
    need_awaited: bool = False
    inputs: list[bytes] = field(default_factory=list)
    tokens: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    finish: str = ""
    running: int = 0
    next_open: Open | None = None

    @property
    def first(self) -> bool:
        """Whether this is the pipeline's first stage."""
        return self.open.stage_index == 0

    @property
    def last(self) -> bool:
        """Whether this is the pipeline's last stage."""
        return self.open.stage_index == len(self.open.route) - 1

    @property
    def here(self) -> RouteStage:
        """This stage in the route."""
        return self.open.route[self.open.stage_index]

    @property
    def following(self) -> RouteStage:
        """The next stage; the last is followed by the first."""
        return self.open.route[(self.open.stage_index + 1) % len(self.open.route)]

    @property
    def previous(self) -> RouteStage:
        """The stage before this one."""
        return self.open.route[self.open.stage_index - 1]

    def adopt(self, message: Open) -> None:
        """Begin an attempt with what earlier attempts left in the KV cache."""
        self.open = message
        self.deadline = time.monotonic() + message.expires_in_s
        known = len(message.known_tokens)
        # Positions past the tokens that the caller has may stem from a token
        # that a lost stage sampled and nobody delivered.
        limit = self.prompt_length + known if self.prompt_length else 0
        self.rewind(min(self.length, limit))
        self.inputs.clear()
        if self.tokens[:known] != message.known_tokens:
            self.tokens = list(message.known_tokens)
            self.texts = [""] * known
        del self.tokens[known + 1 :]
        del self.texts[known + 1 :]
        if self.first and not self.last:
            del self.tokens[known:]
        self.finish = self.finish if len(self.tokens) > known else ""
        self.need_awaited = message.resume and not self.last
        self.sent = 0

    def rewind(self, length: int) -> None:
        """Take positions from ``length`` on for not computed."""
        self.length = length
        if length < self.base:
            self.base = length
        del self.outputs[max(0, length - self.base) :]

    def take_hop(self, hop: Activations) -> bool:
        """Keep a hop's activations; return False if all were here already.

        Raises :class:`GapError` when positions are missing before it.
        """
        expected = self.length + self.running + len(self.inputs)
        if hop.position > expected:
            msg = f"expected position {expected}, got {hop.position}"
            raise GapError(msg)
        repeated = expected - hop.position
        fresh = hop.activations[repeated:]
        self.prompt_length = hop.prompt_length
        self.inputs.extend(fresh)
        return bool(fresh)

    def item(self) -> Item | None:
        """Return the work that can be done now, or None."""
        # Until the next stage has said what it lacks, a rewind may come; a
        # step under way could then append positions that are to be run again.
        if self.running or self.need_awaited:
            return None
        item = Item(
            self.open.request,
            self.open.attempt,
            self.length,
            self.open.rank,
            self.open.seed,
            self.open.max_tokens,
            self.open.adapter,
            False,
        )
        if self.first:
            return self._first_item(item)
        if not self.inputs:
            return None
        item.activations = self.inputs
        item.prompt_length = self.prompt_length
        self.running = len(self.inputs)
        self.inputs = []
        item.sample = self._samples()
        return item

    def _first_item(self, item: Item) -> Item | None:
        if self.length < self.prompt_length or not self.prompt_length:
            item.text = self.open.prompt
            item.tokens = list(self.tokens)
            self.running = 1
        else:
            start = self.length - self.prompt_length
            item.tokens = self.tokens[start:]
            item.prompt_length = self.prompt_length
            self.running = len(item.tokens)
        if not self.running:
            return None
        item.sample = self.last
        return item

    def _samples(self) -> bool:
        # Positions before the last known token have been sampled already by
        # an earlier attempt; sampling them again would give a second answer.
        wanted = self.prompt_length + len(self.tokens)
        return self.last and self.length + self.running >= wanted

    def done(self, result: Result) -> None:
        """Note what a step computed."""
        self.running = 0
        self.length = result.position + len(result.activations)
        self.prompt_length = result.prompt_length
        if result.token is not None:
            self.tokens.append(result.token.id)
            self.texts.append(result.token.text)
            self.finish = result.token.finish
        if not self.last:
            self.outputs.extend(result.activations)

    def unsent(self) -> list[bytes]:
        """Return outputs that the next stage lacks, and count them as sent."""
        if self.need_awaited or self.last:
            return []
        fresh = self.outputs[self.sent - self.base :]
        self.sent = self.base + len(self.outputs)
        return fresh

    def release_outputs(self) -> int:
        """Forget retained outputs that were sent; return their bytes."""
        if self.need_awaited:
            return 0
        size = sum(len(output) for output in self.outputs)
        self.base = self.length
        self.outputs.clear()
        return size


__all__ = [
    "GapError",
    "Stage",
]
