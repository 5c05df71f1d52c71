"""Measures the memory of a balancer's flow cache by number of flows."""

import collections.abc
import tracemalloc

from bramleypin.bench import rows
from bramleypin.internal.balancer import flow_cache
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.wire import pin

SIZES = (25_000, 50_000, 100_000, 200_000)


def measure(count: int) -> int:
    """Return the bytes that a cache of ``count`` pinned flows allocates.

    Routes are not counted, because the flows of an agent share them.
    """
    tracemalloc.start()
    try:
        bytes_before, _ = tracemalloc.get_traced_memory()
        cache = flow_cache.FlowCache(count)
        for number in range(count):
            key = number.to_bytes(flow_key.KEY_BYTES, "big")
            pin_bytes = number.to_bytes(pin.PIN_BYTES, "big")
            cache.store(key, flow_cache.Entry(None, pin_bytes, 0))
        bytes_after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return bytes_after - bytes_before


@rows.BENCHES.register("flow_state")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure four numbers of flows up to the limit of the flow cache."""
    for count in SIZES:
        yield rows.Row(
            "flow_state",
            f"{count} flows: flow cache",
            round(measure(count) / 1e6, 3),
            None,
            "",
            None,
            "MB",
        )
