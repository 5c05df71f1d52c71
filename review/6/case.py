"""FLOW: open flows are reset while the hosts of a new service start."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import platform2 as stage  # noqa: E402

ROUTES = {
    1: ("desk", "unsafe"),
    2: ("desk", "safe"),
    3: ("archive", "safe"),
    4: ("desk-next", "safe"),
}
# The version that moves the second route.
MOVED = {**ROUTES, 2: ("desk-next", "safe")}
FRONTS = ["north"] * 3
ZONES = ("north", "south", "east")
# As many hosts as at vmk-hq, and 3 of 11 more that are added.
SERVICES = ["desk"] * 7 + ["archive"] * 4 + ["desk-next"] * 3
SIDES = [(ZONES[n % 3], service) for n, service in enumerate(SERVICES)]
KEPT_FLOWS = 60
REQUESTS, PAUSE_S = 24, 0.6


def is_open(site, requester, port):
    """Return whether a live host had the end of a flow's handshake."""
    key = (stage.to_int(requester.host), port, *site.route(2))
    return any(
        host.alive and key in host.flows and host.flows[key].open
        for host in site.hosts
    )


async def play(site):
    new_sides = [m for m in site.sides if m.service == "desk-next"]
    site.later = new_sides if stage.troubled() else []
    await site.start(ROUTES, requesters=2, work_s=0.04)
    record, front = site.record, site.fronts[0]
    flows = [
        asyncio.ensure_future(
            site.requesters[number % 2].flow(
                site.route(2), count=REQUESTS, pause_s=PAUSE_S
            )
        )
        for number in range(KEPT_FLOWS)
    ]
    await asyncio.sleep(3)
    # The balancers are stopped and started in turn; this is the first one.
    await front.terminate()
    if stage.troubled():
        # The hosts of the new service and their machines are added.
        for machine in new_sides:
            await site.add_host(machine)
    await asyncio.sleep(0.3)
    site.configure(MOVED)
    await asyncio.sleep(0.2)
    front.start()
    await asyncio.gather(*flows)
    resets = sorted(
        (at_s, port)
        for requester in site.requesters
        for at_s, port, by_system in requester.resets
        if by_system and is_open(site, requester, port)
    )
    record.write(f"outcomes: {site.outcomes()}")
    record.write(
        f"open flows that the system reset while their host lived: "
        f"{len(resets)}: {[(round(a, 2), port) for a, port in resets]}"
    )
    return resets


stage.main(FOLDER, play, FRONTS, SIDES)
