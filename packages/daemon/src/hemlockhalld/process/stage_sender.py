"""Messages from the stages at an endpoint to other stages and entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from hemlockhall_core.connection.error import QueueFullError
from hemlockhall_core.connection.message import (
    Activations,
    ActivationsRequest,
    Failed,
    NextToken,
    OutputToken,
    ResponseSummary,
)
from hemlockhall_core.request.checksum import checksum
from hemlockhall_core.request.reason import RetryReason

if TYPE_CHECKING:
    from hemlockhall_core.connection.link import Link
    from hemlockhall_core.connection.message import AnyMessage, Open, RouteStage
    from hemlockhalld.request.stage import Stage


class StageSender:
    """Sends the messages of the stages at one endpoint.

    A message to a stage whose process is dead or whose queue is full is
    dropped, and the entry host is told that the attempt failed there.

    Parameters
    ----------
    link : Link
        Connections to the other processes.
    """

    def __init__(self, link: Link) -> None:
        self._link = link

    def open_next(self, stage: Stage) -> None:
        """Open the attempt at the next stage, without the prompt."""
        message = stage.open
        next_open = msgspec.structs.replace(
            message, stage_index=message.stage_index + 1, prompt=""
        )
        self._send_to_stage(stage, stage.next_stage, next_open)

    def request_missing(self, stage: Stage) -> None:
        """Request the activations not yet in the cache from the previous stage."""
        message = ActivationsRequest(
            stage.open.request, stage.open.attempt, stage.cached_positions
        )
        self._send_to_stage(stage, stage.previous_stage, message)

    def send_outputs(self, stage: Stage) -> None:
        """Send the next stage the outputs that were not sent yet."""
        start = stage.sent_positions
        outputs = stage.take_unsent()
        if not outputs:
            return
        activations = Activations(
            stage.open.request,
            stage.open.attempt,
            stage.this_stage.end_layer,
            start,
            stage.prompt_length,
            outputs,
        )
        self._send_to_stage(stage, stage.next_stage, activations)

    def send_tokens(self, stage: Stage, start: int) -> None:
        """Send the tokens from index ``start`` on to the entry host.

        All but the final token also go to the first stage, as its next input.
        """
        message = stage.open
        for index in range(start, len(stage.tokens)):
            token = _make_output_token(stage, index)
            self._send_to_entry(message, token)
            if token.final is not None or stage.is_first:
                continue
            next_token = NextToken(message.request, message.attempt, index, token.token)
            self._send_to_stage(stage, stage.next_stage, next_token)

    def report_failure(self, stage: Stage, reason: RetryReason, endpoint: str) -> None:
        """Tell the entry host that the attempt cannot continue at ``endpoint``."""
        self.report_attempt_failure(stage.open, reason, endpoint)

    def report_attempt_failure(
        self, message: Open, reason: RetryReason, endpoint: str
    ) -> None:
        """Tell the entry host that an attempt failed or did not start."""
        failed = Failed(message.request, message.attempt, endpoint, reason.value)
        self._send_to_entry(message, failed)

    def _send_to_stage(
        self, stage: Stage, target: RouteStage, message: AnyMessage
    ) -> None:
        if not self._send(target.endpoint, target.address, message):
            self.report_failure(stage, RetryReason.PEER_LOST, target.endpoint)

    def _send_to_entry(self, message: Open, report: AnyMessage) -> None:
        # An entry host that seems dead may come back, and only this process has
        # the message, so it is queued. The queue is cleared if the entry host
        # turns out to have restarted.
        self._send(message.entry, message.entry_address, report, alive_only=False)

    def _send(
        self, name: str, address: str, message: AnyMessage, *, alive_only: bool = True
    ) -> bool:
        peer = self._link.peer(name, address)
        if alive_only and not peer.alive:
            return False
        try:
            peer.post(message)
        except QueueFullError as exc:
            logger.bind(peer=name).warning("message not queued: {}", exc)
            return False
        return True


def _make_output_token(stage: Stage, index: int) -> OutputToken:
    summary = None
    if stage.finish and index == len(stage.tokens) - 1:
        summary = ResponseSummary(
            len(stage.tokens), checksum(stage.tokens), stage.finish
        )
    return OutputToken(
        stage.open.request,
        stage.open.attempt,
        index,
        stage.tokens[index],
        stage.texts[index],
        stage.prompt_length,
        summary,
    )


__all__ = [
    "StageSender",
]
