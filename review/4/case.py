"""One entry of another writer ends the relays' processes.

See claim.txt. ``TROUBLE=0`` leaves out the foreign entries.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

# Below the store's limit of 1 MiB for a value.
SERVICE_NAME_BYTES = 70_000
WRITES = 4


async def scenario(fleet, trouble):
    for zone in ("a", "a", "b", "c"):
        fleet.add_machine("front", zone)
    for zone in ("a", "a", "b", "b", "c", "c"):
        fleet.add_machine("side", zone, "desk")
    fleet.configure(3, {443: "desk"})
    for host in fleet.hosts:
        host.write()
    await fleet.start()
    for number in range(WRITES):
        if trouble:
            # A service that isn't named in the configuration.
            entry = fleet.hosts[0].entry() | {
                "service": "x" * SERVICE_NAME_BYTES, "seq": number,
                "version": f"v{number}",
                "address": f"{fleet.net}.190:8080",
            }
            fleet.store.put("servers/other-writer", entry)
            fleet.record.line("store: entry of another writer")
        await asyncio.sleep(5.0)
    for machine in fleet.machines:
        if machine.own_ends:
            fleet.record.line(
                f"{machine.name} ended by itself {len(machine.own_ends)} times"
            )
    # The rule: on a tenth of the machines, two at least, three times each.
    findings = [
        f"{machine.name} ended by itself {len(machine.own_ends)} times"
        for machine in fleet.machines if len(machine.own_ends) >= 3
    ]
    if len(findings) < max(2, len(fleet.machines) / 10):
        findings = []
    for line in fleet.log_lines("failed")[:10]:
        fleet.record.line(f"log: {line[:250]}")
    return findings


if __name__ == "__main__":
    standins.main(__file__, scenario)
