"""CONFIG: a route whose priority number is above 1000 stays as it was."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import platform2 as stage  # noqa: E402

BEFORE = {1: ("desk", "unsafe"), 2: ("desk", "unsafe")}
# The second route moves to another service.
AFTER = {1: ("desk", "unsafe"), 2: ("archive", "unsafe")}
FRONTS = ["north", "south"]
SIDES = [
    ("north", "desk"),
    ("south", "desk"),
    ("north", "archive"),
    ("south", "archive"),
]
APPLY_S = stage.BOUNDS["config_apply_ms"] / 1000
PRIORITY = 2000


async def play(site):
    await site.start(BEFORE, requesters=2)
    record = site.record
    load = site.spawn(site.load(site.route(2), per_s=20, seconds=16))
    await asyncio.sleep(4)
    site.configure(AFTER, priority=PRIORITY if stage.troubled() else 1)
    ack_s = record.now()
    await load
    service_by_host = {host.name: host.service for host in site.hosts}
    old = [
        request.id
        for requester in site.requesters
        for request in requester.requests
        if request.sent_s > ack_s + APPLY_S
        and service_by_host.get(request.server) == "desk"
    ]
    record.write(f"outcomes: {site.outcomes()}")
    record.write(
        f"requests sent later than {APPLY_S:g} s after the ack of the version "
        f"and run by the old service: {len(old)}"
    )
    return old


stage.main(FOLDER, play, FRONTS, SIDES)
