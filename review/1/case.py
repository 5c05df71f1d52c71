"""Live hosts vanish from the view after an outage of the store.

See claim.txt. ``TROUBLE=0`` leaves out the two disruptions of the store and
keeps the rolling restart.
"""

import asyncio
import pathlib
import sys
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

FLOWS = 24
OUTAGE_S = 4.5
TURNED_AWAY_S = 5.0
# Time without any disruption before the planned restart: the stable window
# is 4 s.
CALM_S = 6.0


def relay_of(fleet, zone):
    """Return the side machine that relays changes in a zone."""
    sides = [m for m in fleet.machines if m.service and m.zone == zone]
    return min(sides, key=lambda m: (zlib.crc32(m.ip.encode()), m.ip))


async def use(fleet, flow, number, broken, stop):
    """Open a flow and send a request on it every 1.5 s."""
    if not await flow.open():
        fleet.record.line(f"flow {number}: not opened ({flow.end})")
        return
    count = 0
    while not stop.is_set():
        count += 1
        sent_s = fleet.record.now_s()
        result = await flow.request(f"q-{number}-{count}")
        if result != "200":
            fleet.record.line(
                f"flow {number}: request {count} sent at {sent_s:.3f} ended "
                f"as {result}, through {flow.front.name}"
            )
        if flow.end:
            if flow.end == "system reset":
                broken.append((fleet.record.now_s(), number, flow))
            return
        await asyncio.sleep(1.5)
    await flow.close()


async def scenario(fleet, trouble):
    for zone in ("a", "a", "b", "c"):
        fleet.add_machine("front", zone)
    for zone in ("a", "a", "b", "b", "c", "c"):
        fleet.add_machine("side", zone, "desk")
    client = fleet.add_client("a")
    fleet.configure(3, {443: "desk"})
    for host in fleet.hosts:
        host.write()
    await fleet.start()
    store, record = fleet.store, fleet.record
    broken, stop = [], asyncio.Event()
    flows = [client.flow(2_000 + number) for number in range(FLOWS)]
    users = [
        fleet.spawn(use(fleet, flow, number, broken, stop))
        for number, flow in enumerate(flows)
    ]
    await asyncio.sleep(2.0)
    relay = relay_of(fleet, "a")
    record.line(f"{relay.name} relays changes in zone a")
    if trouble:
        record.line("store: down, answers 503")
        store.down = True
        for machine in fleet.machines:
            machine.door.mode = "busy"
        await asyncio.sleep(OUTAGE_S)
        store.down = False
        for machine in fleet.machines:
            machine.door.mode = "pass"
        record.line("store: back")
        answered = relay.door.answers
        while relay.door.answers == answered:
            await asyncio.sleep(0.01)
        relay.door.mode = "busy"
        record.line(f"store: turns {relay.name} away")
        await asyncio.sleep(TURNED_AWAY_S)
        relay.door.mode = "pass"
        record.line(f"store: serves {relay.name} again")
    else:
        await asyncio.sleep(OUTAGE_S + TURNED_AWAY_S)
    await asyncio.sleep(CALM_S)
    entries = sum(key.startswith("servers/") for key in store.item_by_key)
    record.line(f"store: {entries} entries of {len(fleet.hosts)} live hosts")
    calm_s = record.now_s()
    # Planned work: one of the two fronts of zone a is restarted.
    await fleet.fronts()[0].roll()
    await asyncio.sleep(4.0)
    stop.set()
    await asyncio.gather(*users)
    for line in fleet.log_lines("did not register again"):
        record.line(f"log: {line[:200]}")
    return [
        f"flow {number} got a reset of the system at {at_s:.3f} s, through "
        f"{flow.front.name}; its host lives and sent none"
        for at_s, number, flow in broken
        if at_s >= calm_s
    ]


if __name__ == "__main__":
    standins.main(__file__, scenario)
