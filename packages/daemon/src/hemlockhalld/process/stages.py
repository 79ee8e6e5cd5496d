"""All model requests at one endpoint, and the loop that steps its engine."""

from __future__ import annotations

import math
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_core.connection.message import (
    Activations,
    ActivationsRequest,
    AttemptProbe,
    Close,
    Failed,
    NextToken,
    Open,
)
from hemlockhall_core.request.reason import RetryReason
from hemlockhalld.process.engine import EngineError
from hemlockhalld.process.stage_sender import StageSender
from hemlockhalld.request.stage import GapError, Stage

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.connection.link import Link
    from hemlockhall_core.process.metric import Metrics
    from hemlockhalld.process.engine import EngineClient, StepItem, StepResult

MAX_CLOSED_REQUESTS = 10_000
ENGINE_RETRY_INTERVAL_S = 0.2


class Stages:
    """The model requests at this endpoint.

    Parameters
    ----------
    link : Link
        Connections to the other processes.
    engine : Engine
        The engine beside this process.
    metrics : Metrics
        Counters.
    retain_bytes : int
        Limit of the outputs that are retained for repairs.
    """

    def __init__(
        self, link: Link, engine: EngineClient, metrics: Metrics, retain_bytes: int
    ) -> None:
        self.requests: dict[str, Stage] = {}
        self.failing = False
        self.on_change: Callable[[], None] = lambda: None
        self._name = link.name
        self._sender = StageSender(link)
        self._engine = engine
        self._metrics = metrics
        self._max_retained_bytes = retain_bytes
        self._retained_bytes = 0
        self._closed_attempts: OrderedDict[str, int] = OrderedDict()
        self._ready: dict[str, None] = {}
        self._pending_cancels: list[str] = []
        self._wake = anyio.Event()

    def refuse(self, message: Open, reason: RetryReason) -> None:
        """Tell the entry host that an attempt does not start here."""
        here = message.route[message.stage_index].endpoint
        self._sender.report_attempt_failure(message, reason, here)

    def on_open(self, message: Open) -> None:
        """Begin an attempt here and pass it on to the next stage."""
        request = message.request
        # The entry host closes at each stage directly, while an attempt comes
        # along the pipeline, so it may come after its own end. Without this
        # the engine's slot would stay taken by a request nobody waits for.
        if message.attempt <= self._closed_attempts.get(request, 0):
            self._metrics.count_ignored_message("open_after_close")
            return
        stage = self.requests.get(request)
        if stage is None:
            stage = self.requests[request] = Stage(message, 0.0)
        elif message.attempt <= stage.open.attempt:
            self._metrics.count_ignored_message("open_repeated")
            return
        elif stage.running_positions:
            stage.next_open = message
            return
        self._begin_attempt(stage, message)

    def _begin_attempt(self, stage: Stage, message: Open) -> None:
        stage.next_open = None
        bytes_before = _outputs_bytes(stage)
        stage.begin_attempt(message)
        self._retained_bytes += _outputs_bytes(stage) - bytes_before
        if not stage.is_last:
            self._sender.open_next(stage)
        if message.resume and not stage.is_first:
            self._sender.request_missing(stage)
        if stage.is_last:
            self._sender.send_tokens(stage, len(message.known_tokens))
        self._mark_ready(stage)

    def on_activations(self, message: Activations) -> None:
        """Take activations from the stage before."""
        stage = self._current_stage(message)
        if stage is None:
            return
        if message.layer != stage.this_stage.first_layer:
            self._sender.report_failure(
                stage, RetryReason.HOP_GAP, stage.this_stage.endpoint
            )
            return
        try:
            fresh = stage.add_activations(message)
        except GapError as exc:
            logger.bind(request=message.request).warning("gap in hops: {}", exc)
            self._sender.report_failure(
                stage, RetryReason.HOP_GAP, stage.this_stage.endpoint
            )
            return
        if not fresh:
            self._metrics.count_ignored_message("hop_repeated")
            return
        self._mark_ready(stage)

    def on_next_token(self, message: NextToken) -> None:
        """Take the token that the last stage sampled."""
        stage = self._current_stage(message)
        if stage is None:
            return
        if message.token_index < len(stage.tokens):
            self._metrics.count_ignored_message("loop_repeated")
            return
        if message.token_index > len(stage.tokens):
            self._sender.report_failure(
                stage, RetryReason.HOP_GAP, stage.this_stage.endpoint
            )
            return
        stage.tokens.append(message.token)
        self._mark_ready(stage)

    def on_activations_request(self, message: ActivationsRequest) -> None:
        """Send the next stage what it lacks, computing it again if need be."""
        stage = self._current_stage(message)
        if stage is None:
            return
        stage.awaiting_request = False
        stage.sent_positions = message.position
        if message.position >= stage.outputs_start:
            self._sender.send_outputs(stage)
            self._mark_ready(stage)
            return
        # The outputs are not retained any more: run the layers here again
        # from that position, on inputs that come from the stage before.
        logger.bind(request=message.request).info("recomputing from a need")
        bytes_before = _outputs_bytes(stage)
        stage.rewind(message.position)
        self._retained_bytes += _outputs_bytes(stage) - bytes_before
        stage.inputs.clear()
        if not stage.is_first:
            self._sender.request_missing(stage)
        self._mark_ready(stage)

    def on_probe(self, message: AttemptProbe) -> Failed | None:
        """Return a failure if the attempt is not here."""
        stage = self.requests.get(message.request)
        if stage is not None and message.attempt <= _latest_attempt(stage):
            return None
        reason = RetryReason.REQUEST_LOST.value
        return Failed(message.request, message.attempt, self._name, reason)

    def on_close(self, message: Close) -> None:
        """Forget a request and free its slot."""
        self._closed_attempts[message.request] = message.attempt
        self._closed_attempts.move_to_end(message.request)
        while len(self._closed_attempts) > MAX_CLOSED_REQUESTS:
            self._closed_attempts.popitem(last=False)
        stage = self.requests.get(message.request)
        if stage is not None and stage.open.attempt <= message.attempt:
            self._drop(stage)

    def on_peer_lost(self, name: str) -> None:
        """Act on the loss of a peer: an entry host, or another stage."""
        for stage in list(self.requests.values()):
            if stage.open.entry == name:
                self._drop(stage)
                continue
            for route_stage in stage.open.route:
                if route_stage.endpoint == name:
                    self._sender.report_failure(stage, RetryReason.PEER_LOST, name)
                    break

    async def run(self) -> None:
        """Step the engine for ever: all requests with work in one batch."""
        await self._reset_engine()
        while True:
            if not self._ready and not self._pending_cancels:
                await self._wake.wait()
            self._wake = anyio.Event()
            try:
                await self._run_step()
            except EngineError as exc:
                await self._handle_engine_failure(exc)

    async def _reset_engine(self) -> None:
        """Free what an earlier run of this process left in the engine.

        A killed side process cancels nothing; its engine would hold slots
        and KV cache for requests that were repaired elsewhere long ago. The
        engine has one side process, so all that it holds is left over.
        """
        self.failing = True
        while True:
            try:
                await self._engine.reset()
                break
            except EngineError as exc:
                logger.warning("engine does not answer yet: {}", exc)
                await anyio.sleep(ENGINE_RETRY_INTERVAL_S)
        self.failing = False
        self.on_change()

    async def _run_step(self) -> None:
        if self._pending_cancels:
            cancels, self._pending_cancels = self._pending_cancels, []
            await self._engine.cancel(cancels)
        items = self._next_items()
        if not items:
            return
        for result in await self._engine.run_steps(items):
            self._handle_result(result)

    def _next_items(self) -> list[StepItem]:
        """Return the work of one step, those first that have waited longest.

        A step that took all requests would send them on together, and the
        other stages of the pipeline would idle meanwhile. So a step takes
        one part of the open requests, as many parts as there are stages.
        """
        items: list[StepItem] = []
        now = time.monotonic()
        for request in list(self._ready):
            stage = self.requests.get(request)
            limit = math.ceil(len(self.requests) / self._stage_count(stage))
            if len(items) >= limit:
                break
            del self._ready[request]
            if stage is None:
                continue
            if now > stage.deadline:
                self._drop(stage)
                continue
            item = stage.next_item()
            if item is not None:
                items.append(item)
        return items

    @staticmethod
    def _stage_count(stage: Stage | None) -> int:
        return len(stage.open.route) if stage is not None else 1

    def _handle_result(self, result: StepResult) -> None:
        stage = self.requests.get(result.request)
        if stage is None:
            self._pending_cancels.append(result.request)
            return
        if result.attempt != stage.open.attempt:
            # The request was dropped and opened again during the step.
            self._metrics.count_ignored_message("superseded")
            return
        if result.error:
            stage.running_positions = 0
            logger.bind(request=result.request).warning("engine: {}", result.error)
            self._sender.report_failure(
                stage, RetryReason.ENGINE_FAILED, stage.this_stage.endpoint
            )
            return
        bytes_before = _outputs_bytes(stage)
        stage.apply_result(result)
        self._retained_bytes += _outputs_bytes(stage) - bytes_before
        if stage.next_open is not None:
            self._begin_attempt(stage, stage.next_open)
            return
        if result.token is not None:
            self._sender.send_tokens(stage, len(stage.tokens) - 1)
        self._sender.send_outputs(stage)
        self._mark_ready(stage)
        if self._retained_bytes > self._max_retained_bytes:
            self._release_outputs()

    def _mark_ready(self, stage: Stage) -> None:
        if not stage.finish:
            self._ready[stage.open.request] = None
            self._wake.set()

    def _current_stage(
        self, message: Activations | NextToken | ActivationsRequest
    ) -> Stage | None:
        stage = self.requests.get(message.request)
        # After a repair the stages of the old pipeline may still send, a
        # frozen one long after. Their work must not reach a KV cache here;
        # the attempt's number tells it apart.
        if stage is None or message.attempt != stage.open.attempt:
            self._metrics.count_ignored_message("superseded")
            return None
        return stage

    def _release_outputs(self) -> None:
        for stage in self.requests.values():
            self._retained_bytes -= stage.release_outputs()
            if self._retained_bytes <= self._max_retained_bytes // 2:
                return

    def _drop(self, stage: Stage) -> None:
        request = stage.open.request
        if self.requests.pop(request, None) is None:
            return
        self._retained_bytes -= _outputs_bytes(stage)
        self._ready.pop(request, None)
        if not stage.running_positions:
            self._pending_cancels.append(request)
            self._wake.set()
        self.on_change()

    async def _handle_engine_failure(self, exc: EngineError) -> None:
        """Give all requests back, and wait until the engine answers."""
        logger.warning("engine lost: {}", exc)
        self.failing = True
        for stage in list(self.requests.values()):
            self._sender.report_failure(
                stage, RetryReason.ENGINE_FAILED, stage.this_stage.endpoint
            )
            self._drop(stage)
        self.on_change()
        await self._reset_engine()


def _latest_attempt(stage: Stage) -> int:
    return stage.next_open.attempt if stage.next_open else stage.open.attempt


def _outputs_bytes(stage: Stage) -> int:
    return sum(len(output) for output in stage.outputs)


__all__ = [
    "Stages",
]
