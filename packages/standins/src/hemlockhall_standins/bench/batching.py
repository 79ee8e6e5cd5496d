"""Measures the CPU time of a message between processes by batch size.

One process pushes batches to itself over loopback TCP. The time covers both ends,
with encoding and decoding. Each message holds the activations of one position.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

import anyio
import pynng

from hemlockhall_core.connection.message import Activations, Batch, decode, encode
from hemlockhall_standins.bench.report import print_result
from hemlockhall_standins.processes import free_addresses, new_loopback_host

MESSAGE_COUNT = 4096
BATCH_SIZES = (1, 8, 64)
ROUNDS = 3
ACTIVATION_BYTES = 8192


def make_batch(count: int) -> Batch:
    """Return a batch of ``count`` messages."""
    message = Activations("0123456789abcdef", 1, 8, 100, 20, [bytes(ACTIVATION_BYTES)])
    return Batch(
        "a", "127.0.0.1:1", 1, 2, 3, 4, 5, "active", 6, False, [message] * count
    )


async def message_cost_us(size: int) -> float:
    """Return the CPU time of a message in batches of ``size``, in microseconds."""
    (address,) = free_addresses(new_loopback_host(), 1)
    pull = pynng.Pull0(listen=f"tcp://{address}", recv_max_size=0)
    push = pynng.Push0(dial=f"tcp://{address}", block_on_dial=True)
    with pull, push:
        started = time.process_time()
        for _ in range(MESSAGE_COUNT // size):
            await push.asend(encode(make_batch(size)))
            decode(await pull.arecv())
        return 1e6 * (time.process_time() - started) / MESSAGE_COUNT


@dataclass
class Result:
    """Printed result: CPU microseconds per message by batch size."""

    us_alone: float
    us_in_8: float
    us_in_64: float
    alone_over_64: float


def main() -> None:
    """Measure the sizes in turn and print the lowest cost of each."""
    best = dict.fromkeys(BATCH_SIZES, float("inf"))
    for _ in range(ROUNDS):
        for size in BATCH_SIZES:
            best[size] = min(best[size], anyio.run(message_cost_us, size))
    alone, eight, many = (round(best[size], 1) for size in BATCH_SIZES)
    print_result(Result(alone, eight, many, round(alone / many, 1)))


if __name__ == "__main__":
    main()
