"""One entry that cannot be read keeps all daemons from reading the store.

See claim.txt. ``TROUBLE=0`` leaves out the foreign entry.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

REQUESTS_PER_S = 20
WORK_S = 0.4
DEPTH = 2_000
# A host that drains exits drain_ms after the ack "and a little longer".
LEAVE_S = 7.0


async def use(fleet, client, port, result_by_name):
    flow = client.flow(port)
    if await flow.open():
        result = await flow.request(f"q-{port}")
        await flow.close()
    else:
        result = f"not opened, {flow.end}"
    result_by_name[f"q-{port}"] = result
    fleet.record.line(f"request q-{port}: {result}")


async def load(fleet, stop, result_by_name):
    port = 2_000
    while not stop.is_set():
        port += 1
        client = fleet.clients[port % len(fleet.clients)]
        fleet.spawn(use(fleet, client, port, result_by_name))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def scenario(fleet, trouble):
    for zone in ("a", "a", "b", "c"):
        fleet.add_machine("front", zone)
    for zone in ("a", "a", "b", "b", "c", "c"):
        fleet.add_machine("side", zone, "desk", work_s=WORK_S)
    for zone in standins.ZONES:
        fleet.add_client(zone)
    fleet.configure(3, {443: "desk"})
    for host in fleet.hosts:
        host.write()
    await fleet.start()
    stop = asyncio.Event()
    result_by_name = {}
    fleet.spawn(load(fleet, stop, result_by_name))
    await asyncio.sleep(2.0)
    if trouble:
        # An entry of another writer: its field "version" is of another type.
        value = b'{"service":"desk","version":' + b"[" * DEPTH + b"]" * DEPTH
        fleet.store.put("servers/other-writer", value + b"}")
        fleet.record.line("store: entry of another writer")
    await asyncio.sleep(6.0)
    host = fleet.hosts[0]
    host.state = "draining"
    host.write()
    drain_s = fleet.record.now_s()
    fleet.record.line(f"{host.machine.name} is draining: acknowledged")
    fleet.store.put("op/evacuate/c", {})
    out_s = fleet.record.now_s()
    fleet.record.line("zone c is to be evacuated: acknowledged")
    await asyncio.sleep(LEAVE_S)
    host.leave()
    await asyncio.sleep(3.0)
    stop.set()
    await asyncio.sleep(5.0)
    findings = [
        f"DRAIN: {host.machine.name} took a flow {at_s - drain_s:.1f} s "
        "after its drain was acknowledged"
        for at_s, _ in host.openings
        if at_s > drain_s + standins.BOUNDS["drain_ms"] / 1000
    ]
    late_s = drain_s + standins.BOUNDS["drain_ms"] / 1000
    findings += [
        f"lost: {host.machine.name} ran {name} {at_s - drain_s:.1f} s after "
        f"its drain was acknowledged, and left; it ended as {result}"
        for at_s, name in host.runs
        if at_s > late_s + WORK_S
        and (result := result_by_name.get(name, "no answer")) != "200"
    ]
    findings += [
        f"EVAC: {other.machine.name} took a flow {at_s - out_s:.1f} s after "
        "the evacuation of zone c was acknowledged"
        for other in fleet.hosts if other.machine.zone == "c"
        for at_s, _ in other.openings
        if at_s > out_s + standins.BOUNDS["evacuate_ms"] / 1000
    ]
    for line in fleet.log_lines("Recursion")[:10]:
        fleet.record.line(f"log: {line[:250]}")
    return findings


if __name__ == "__main__":
    standins.main(__file__, scenario)
