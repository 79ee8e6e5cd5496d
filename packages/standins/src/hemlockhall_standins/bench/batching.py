"""Processor time of a message between processes, alone and in batches.

One process pushes to itself over loopback TCP; the time is that of both ends,
encoding included. A message is a hop with one position of activations.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

import anyio
import pynng

from hemlockhall_core.connection.message import Activations, Batch, decode, encode
from hemlockhall_standins.bench.report import last_line
from hemlockhall_standins.processes import free_addresses, new_host

MESSAGES = 4096
SIZES = (1, 8, 64)
ROUNDS = 3
ACTIVATION_BYTES = 8192


def batch(count: int) -> Batch:
    """Return a batch of so many hops."""
    hop = Activations("0123456789abcdef", 1, 8, 100, 20, [bytes(ACTIVATION_BYTES)])
    return Batch("a", "127.0.0.1:1", 1, 2, 3, 4, 5, "active", 6, False, [hop] * count)


async def cost(size: int) -> float:
    """Return the microseconds of processor time of a message."""
    (address,) = free_addresses(new_host(), 1)
    pull = pynng.Pull0(listen=f"tcp://{address}", recv_max_size=0)
    push = pynng.Push0(dial=f"tcp://{address}", block_on_dial=True)
    with pull, push:
        started = time.process_time()
        for _ in range(MESSAGES // size):
            await push.asend(encode(batch(size)))
            decode(await pull.arecv())
        return 1e6 * (time.process_time() - started) / MESSAGES


@dataclass
class Result:
    """What the bench prints: microseconds of a message, by batch size."""

    us_alone: float
    us_in_8: float
    us_in_64: float
    alone_over_64: float


def main() -> None:
    """Measure the sizes in turn and print the best of each."""
    best = dict.fromkeys(SIZES, float("inf"))
    for _ in range(ROUNDS):
        for size in SIZES:
            best[size] = min(best[size], anyio.run(cost, size))
    alone, eight, many = (round(best[size], 1) for size in SIZES)
    last_line(Result(alone, eight, many, round(alone / many, 1)))


if __name__ == "__main__":
    main()
