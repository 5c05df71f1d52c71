"""FLOW: packets of open flows reach other hosts in a rolling restart."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import platform2 as stage  # noqa: E402

ROUTES = {1: ("desk", "unsafe"), 2: ("archive", "safe")}
FRONTS = ["north"] * 3
SIDES = [
    ("north", "desk"),
    ("south", "desk"),
    ("north", "desk"),
    ("south", "desk"),
    ("north", "archive"),
    ("south", "archive"),
]
KEPT_FLOWS = 400
PAUSE_S = (1.5, 2.5)
GAP_S = 1.3
LOAD_S = 50
SIDE_ROUNDS = 3
FRONT_ROUNDS = 9
# Margin between the last packet at another host and the next at the own one.
MARGIN_S = 0.05
FLOW_S = stage.BOUNDS["flow_ms"] / 1000


async def keep_flows(requester, route, end_s):
    """Keep one flow open after the other, each for some requests."""
    while requester.record.now() < end_s:
        await requester.flow(
            route, count=random.randint(5, 12), pause_s=random.uniform(*PAUSE_S)
        )


async def roll(machines):
    """Stop and start machines in turn, as roll_term does."""
    restarts = []
    for machine in machines:
        restarts.append(asyncio.ensure_future(machine.restart()))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*restarts)


async def roll_again(machines, rounds):
    for _ in range(rounds):
        await roll(machines)


def broken_flows(site):
    """Return the flows that break part (b) of FLOW, with what was seen."""
    found = []
    for host in site.hosts:
        for key, own in host.own_packets.items():
            others = sorted(
                at_s
                for other in site.hosts
                if other is not host
                for at_s in other.bounced_packets.get(key, [])
            )
            for first in range(len(others) - 2):
                start_s, end_s = others[first], others[first + 2]
                before = [at_s for at_s in own if at_s <= start_s]
                after = [at_s for at_s in own if at_s >= start_s]
                # The flow is open at its host before, and used again later.
                if not before or not after or after[0] <= end_s + MARGIN_S:
                    continue
                if after[0] - before[-1] > FLOW_S and end_s - start_s < FLOW_S:
                    found.append((host, key, before[-1], after[0], others))
                    break
    return found


async def play(site):
    await site.start(ROUTES, requesters=2, work_s=0.04)
    record = site.record
    end_s = record.now() + LOAD_S
    load = [
        site.spawn(
            keep_flows(
                site.requesters[number % 2],
                site.route(1 if number % 4 else 2),
                end_s,
            )
        )
        for number in range(KEPT_FLOWS)
    ]
    await asyncio.sleep(4)
    if stage.troubled():
        await asyncio.gather(
            roll_again(site.sides, SIDE_ROUNDS),
            roll_again(site.fronts, FRONT_ROUNDS),
        )
    await asyncio.gather(*load)
    broken = broken_flows(site)
    for host, key, before_s, after_s, others in broken:
        times = [round(at_s, 2) for at_s in others if before_s < at_s < after_s]
        record.write(
            f"flow {key} of {host.name}: no packet reached its host between "
            f"{before_s:.2f} and {after_s:.2f} s; packets reached other hosts "
            f"at {times}"
        )
    unanswered = [
        request.id
        for requester in site.requesters
        for request in requester.requests
        if request.opened_s is not None and request.outcome != "200"
    ]
    record.write(f"outcomes: {site.outcomes()}")
    record.write(f"requests on open flows without an answer: {unanswered}")
    record.write(f"flows that break FLOW (b): {len(broken)}")
    return broken


stage.main(FOLDER, play, FRONTS, SIDES)
