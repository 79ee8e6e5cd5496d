"""Model requests at one endpoint, and the loop that batches engine steps."""

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

# Requests whose close is remembered, to ignore an opening that arrives after it.
MAX_CLOSED_REQUESTS = 10_000
ENGINE_RETRY_INTERVAL_S = 0.2


class Stages:
    """The model requests at this endpoint.

    ``failing`` is set until the engine was reset, after the start of ``run`` and after
    a failure. ``on_change`` is called when the engine failed or was reset, and when a
    request ends here.

    Parameters
    ----------
    link : Link
        Connections to the other processes.
    engine : EngineClient
        Client of the engine next to this process.
    metrics : Metrics
        Counters.
    retain_bytes : int
        Limit on the outputs that are retained for retries, in bytes.
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
        """Tell the entry host that an attempt is refused here."""
        endpoint = message.route[message.stage_index].endpoint
        self._sender.report_attempt_failure(message, reason, endpoint)

    def on_open(self, message: Open) -> None:
        """Start an attempt here and open it at the next stage."""
        request_id = message.request
        # A close comes directly from the entry host and an opening from the
        # previous stage, so an opening can arrive after its own close. It would
        # occupy an engine slot for a request that has ended.
        if message.attempt <= self._closed_attempts.get(request_id, 0):
            self._metrics.count_ignored_message("open_after_close")
            return
        stage = self.requests.get(request_id)
        if stage is None:
            stage = self.requests[request_id] = Stage(message, 0.0)
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
        """Queue activations from the previous stage as input."""
        stage = self._current_stage(message)
        if stage is None:
            return
        if message.layer != stage.this_stage.first_layer:
            self._sender.report_failure(
                stage, RetryReason.HOP_GAP, stage.this_stage.endpoint
            )
            return
        try:
            has_new = stage.add_activations(message)
        except GapError as exc:
            logger.bind(request=message.request).warning("gap in activations: {}", exc)
            self._sender.report_failure(
                stage, RetryReason.HOP_GAP, stage.this_stage.endpoint
            )
            return
        if not has_new:
            self._metrics.count_ignored_message("hop_repeated")
            return
        self._mark_ready(stage)

    def on_next_token(self, message: NextToken) -> None:
        """Take the token from the last stage as next input of the first stage."""
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
        """Send the requested activations, recomputing them if necessary."""
        stage = self._current_stage(message)
        if stage is None:
            return
        stage.awaiting_request = False
        stage.sent_positions = message.position
        if message.position >= stage.outputs_start:
            self._sender.send_outputs(stage)
            self._mark_ready(stage)
            return
        # The outputs are no longer retained: run the layers here again from that
        # position, on inputs requested from the previous stage.
        logger.bind(request=message.request).info("recomputing released activations")
        bytes_before = _outputs_bytes(stage)
        stage.rewind(message.position)
        self._retained_bytes += _outputs_bytes(stage) - bytes_before
        stage.inputs.clear()
        if not stage.is_first:
            self._sender.request_missing(stage)
        self._mark_ready(stage)

    def on_probe(self, message: AttemptProbe) -> Failed | None:
        """Return a failure if the attempt is unknown here, else None."""
        stage = self.requests.get(message.request)
        if stage is not None and message.attempt <= _latest_attempt(stage):
            return None
        reason = RetryReason.REQUEST_LOST.value
        return Failed(message.request, message.attempt, self._name, reason)

    def on_close(self, message: Close) -> None:
        """Drop a closed request and free its engine slot."""
        self._closed_attempts[message.request] = message.attempt
        self._closed_attempts.move_to_end(message.request)
        while len(self._closed_attempts) > MAX_CLOSED_REQUESTS:
            self._closed_attempts.popitem(last=False)
        stage = self.requests.get(message.request)
        if stage is not None and stage.open.attempt <= message.attempt:
            self._drop(stage)

    def on_peer_lost(self, name: str) -> None:
        """Drop requests of a lost entry host; report those with a lost stage."""
        for stage in list(self.requests.values()):
            if stage.open.entry == name:
                self._drop(stage)
                continue
            for route_stage in stage.open.route:
                if route_stage.endpoint == name:
                    self._sender.report_failure(stage, RetryReason.PEER_LOST, name)
                    break

    async def run(self) -> None:
        """Run engine steps until cancelled; each batches requests with input."""
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
        """Free the slots that an earlier run of this process left in the engine.

        A killed side process cancels nothing, and its engine would keep slots
        and KV cache for requests that were retried elsewhere. An engine has
        only one side process, so everything in it is stale.
        """
        self.failing = True
        while True:
            try:
                await self._engine.reset()
                break
            except EngineError as exc:
                logger.warning("engine not reset yet: {}", exc)
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
        """Return the items of the next step, longest waiting requests first.

        With all open requests in one step, the other stages of the pipeline
        would idle meanwhile. So a step takes at most the number of open
        requests divided by the number of stages, rounded up.
        """
        items: list[StepItem] = []
        now = time.monotonic()
        for request_id in list(self._ready):
            stage = self.requests.get(request_id)
            limit = math.ceil(len(self.requests) / self._stage_count(stage))
            if len(items) >= limit:
                break
            del self._ready[request_id]
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
            # The request was dropped and reopened during the step.
            self._metrics.count_ignored_message("superseded")
            return
        if result.error:
            stage.running_positions = 0
            logger.bind(request=result.request).warning("step failed: {}", result.error)
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
        # After a retry, stages of the previous attempt may still send, a frozen
        # process much later. Their messages must not reach the KV cache here;
        # they are recognized by the attempt number.
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
        request_id = stage.open.request
        if self.requests.pop(request_id, None) is None:
            return
        self._retained_bytes -= _outputs_bytes(stage)
        self._ready.pop(request_id, None)
        if not stage.running_positions:
            self._pending_cancels.append(request_id)
            self._wake.set()
        self.on_change()

    async def _handle_engine_failure(self, exc: EngineError) -> None:
        """Report all requests as failed and wait until the engine responds."""
        logger.warning("engine failed: {}", exc)
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
