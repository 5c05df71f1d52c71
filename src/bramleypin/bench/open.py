"""Compares opening a flow by parallel probes with a chain of candidates.

The time with parallel probes is measured in the virtual network, with a
one-way latency of 1 ms between hosts, from the sending of the datagram at the
fabric to the arrival of the answer there. The time of the chain is calculated:
the datagram visits the candidates one after the other, since any of them may
hold the flow, and is lost at a dead candidate.
"""

import collections.abc
import statistics

import anyio

from bramleypin.bench import rows
from bramleypin.internal import address
from bramleypin.standins import balancer_bed
from bramleypin.standins import virtual_network

SEED = 1
CANDIDATE_COUNT = 8
FLOW_COUNT = 200
ONE_WAY_LATENCY_S = 0.001
# A caller sends its first retransmission after 2 to 3 s (RFC 7252).
FIRST_RETRANSMISSION_S = 2.5
POLL_INTERVAL_S = 0.0001
BASELINE_NAME = "chain of candidates, computed"


async def _opening_s(
    bed: balancer_bed.TestBed, balancer: int, caller: address.Address
) -> float:
    """Return the seconds until a caller's first request is answered."""
    answers_before, start_s = len(bed.answers), anyio.current_time()
    bed.send(balancer, bed.request(), caller=caller)
    while len(bed.answers) == answers_before:
        await anyio.sleep(POLL_INTERVAL_S)
    return anyio.current_time() - start_s


async def _measure_openings(bed: balancer_bed.TestBed) -> dict[str, float]:
    """Return the opening time in seconds by case.

    Each is a median, except for the first opening after a candidate died.
    """
    await bed.start(agents=CANDIDATE_COUNT)
    bed.publish(1)
    callers = [
        address.Address("10.8.1.1", 20_000 + number)
        for number in range(FLOW_COUNT)
    ]
    new_flow_s = [await _opening_s(bed, 0, caller) for caller in callers]
    held_flow_s = [await _opening_s(bed, 1, caller) for caller in callers]
    dead_candidate = bed.agents[0].port.address
    bed.network.add_rule(
        virtual_network.Rule(
            lambda packet: packet.destination == dead_candidate, loss=1.0
        )
    )
    later_callers = [
        address.Address("10.8.1.2", 20_000 + number)
        for number in range(FLOW_COUNT)
    ]
    after_death_s = [
        await _opening_s(bed, 0, caller) for caller in later_callers
    ]
    return {
        "a new flow": statistics.median(new_flow_s),
        "a flow that another balancer opened": statistics.median(held_flow_s),
        "a new flow, first opening after a candidate died": after_death_s[0],
        "a new flow, a candidate known to be silent": statistics.median(
            after_death_s[1:]
        ),
    }


def _chain_s(hops: float) -> float:
    """Return the calculated time of a chain in seconds, fabric to fabric.

    One hop leads from the fabric to the balancer, ``hops`` lead through the
    candidates, and two lead back through the balancer.
    """
    return ONE_WAY_LATENCY_S * (1 + hops + 2)


_CHAIN_S_BY_CASE = {
    "a new flow": _chain_s(CANDIDATE_COUNT),
    # The holder is equally likely to be at each position of the chain.
    "a flow that another balancer opened": _chain_s((CANDIDATE_COUNT + 1) / 2),
    "a new flow, first opening after a candidate died": (
        FIRST_RETRANSMISSION_S + _chain_s(CANDIDATE_COUNT - 1)
    ),
    "a new flow, a candidate known to be silent": _chain_s(
        CANDIDATE_COUNT - 1
    ),
}


@rows.BENCHES.register("open")
def run() -> collections.abc.Iterator[rows.Row]:
    """Measure all cases in one run of the virtual network."""
    opening_s_by_case: dict[str, float] = {}

    async def scenario(bed: balancer_bed.TestBed) -> None:
        opening_s_by_case.update(await _measure_openings(bed))

    balancer_bed.run(scenario, seed=SEED)
    for case, opening_s in opening_s_by_case.items():
        yield rows.Row(
            bench="open",
            case=f"{case}, {CANDIDATE_COUNT} candidates",
            ours=round(opening_s * 1_000, 2),
            baseline=round(_CHAIN_S_BY_CASE[case] * 1_000, 2),
            baseline_name=BASELINE_NAME,
            bound=None,
            unit="ms",
            seed=SEED,
        )
