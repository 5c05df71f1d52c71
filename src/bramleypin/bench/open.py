"""Time to open a flow: probes in parallel against a chain of candidates.

Ours is measured in the virtual network, with 1 ms one way between hosts, from
the datagram's sending at the fabric to the answer's arrival there. The chain
is computed: the datagram visits one candidate after the other, since any of
them may hold the flow, and is lost at a dead one.
"""

import collections.abc
import statistics

import anyio

from bramleypin.bench import rows
from bramleypin.internal import address
from bramleypin.standins import balancer_bed
from bramleypin.standins import virtual_network

SEED = 1
CANDIDATES = 8
FLOWS = 200
ONE_WAY_S = 0.001
# RFC 7252: a caller retransmits first after 2 to 3 s.
RETRANSMISSION_S = 2.5
POLL_S = 0.0001
BASELINE_NAME = "chain of candidates, computed"


async def _opening_s(
    bed: balancer_bed.TestBed, balancer: int, caller: address.Address
) -> float:
    """Return the time until a caller's first request is answered."""
    before, start_s = len(bed.answers), anyio.current_time()
    bed.send(balancer, bed.request(), caller=caller)
    while len(bed.answers) == before:
        await anyio.sleep(POLL_S)
    return anyio.current_time() - start_s


async def _measure(bed: balancer_bed.TestBed) -> dict[str, float]:
    """Return the median time in seconds of each case."""
    await bed.start(agents=CANDIDATES)
    bed.publish(1)
    callers = [
        address.Address("10.8.1.1", 20_000 + number) for number in range(FLOWS)
    ]
    new = [await _opening_s(bed, 0, caller) for caller in callers]
    held = [await _opening_s(bed, 1, caller) for caller in callers]
    dead = bed.agents[0].port.address
    bed.network.add_rule(
        virtual_network.Rule(lambda item: item.destination == dead, loss=1.0)
    )
    others = [
        address.Address("10.8.1.2", 20_000 + number) for number in range(FLOWS)
    ]
    after = [await _opening_s(bed, 0, caller) for caller in others]
    return {
        "a new flow": statistics.median(new),
        "a flow that another balancer opened": statistics.median(held),
        "a new flow, first opening after a candidate died": after[0],
        "a new flow, a candidate known to be silent": statistics.median(
            after[1:]
        ),
    }


def _chain_s(hops: float) -> float:
    """Return the chain's time from fabric to fabric for some hops."""
    return ONE_WAY_S * (1 + hops + 2)


_CHAIN_S_BY_CASE = {
    "a new flow": _chain_s(CANDIDATES),
    "a flow that another balancer opened": _chain_s((CANDIDATES + 1) / 2),
    "a new flow, first opening after a candidate died": (
        RETRANSMISSION_S + _chain_s(CANDIDATES - 1)
    ),
    "a new flow, a candidate known to be silent": _chain_s(CANDIDATES - 1),
}


@rows.BENCHES.register("open")
def run() -> collections.abc.Iterator[rows.Row]:
    """Measure all cases in one run of the virtual network."""
    found: dict[str, float] = {}

    async def scenario(bed: balancer_bed.TestBed) -> None:
        found.update(await _measure(bed))

    balancer_bed.run(scenario, seed=SEED)
    for case, ours_s in found.items():
        yield rows.Row(
            bench="open",
            case=f"{case}, {CANDIDATES} candidates",
            ours=round(ours_s * 1_000, 2),
            baseline=round(_CHAIN_S_BY_CASE[case] * 1_000, 2),
            baseline_name=BASELINE_NAME,
            bound=None,
            unit="ms",
            seed=SEED,
        )
