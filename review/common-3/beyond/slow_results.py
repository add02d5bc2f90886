"""Clients that read a job's results slowly take the gateway that runs the job beyond its machine's memory."""

import asyncio
import base64
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

import harness as h

MEMORY_MB = 130  # Of a machine of the sheet of Nekomori.
ITEMS = 200  # The most of one submission.
EVENTS = 310  # Of the longest output on the sheet.
EVENT_BYTES = 345
READERS = 8
ORDINARY = 8  # Requests in progress at the gateway.
SEGMENT = 1460  # Bytes; of a path over Ethernet.
WINDOW = 4096  # Bytes that a slow reader takes in unread.
JOB = "7c41e09b52d6a3f8"


class Writer(h.Replica):
    """Streams outputs of the longest length. The last item of the job goes on slowly, so that the job stays open."""

    async def run(self, request, writer, fields):
        if request.path.endswith("/last"):
            await self.stream(request, writer, fields, 1000, EVENT_BYTES, 0.3)
        else:
            await self.stream(request, writer, fields, EVENTS, EVENT_BYTES, 0)


def submission():
    items = [{"id": f"{0xe5b2000000000000 + number:016x}", "path": "/plan/3/last" if number == ITEMS - 1 else f"/plan/3/{number}",
              "headers": {"Model": "m", "Token-Count": "540,400"}, "body": base64.b64encode(b"plan").decode(), "tokens": 940}
             for number in range(ITEMS)]
    return json.dumps({"items": items}).encode()


async def listed(gateway):
    """How many results are listed."""
    position = 0
    while True:
        status, _, body = await h.call(gateway.callers, "GET", f"/-/lots/{JOB}?after={position}")
        if status != 200:
            raise h.CouldNotRun(f"status {status} for the results")
        page = json.loads(body)
        if not page["results"]:
            return position
        position = page["next"]


async def case(record, folder, gateways, trouble):
    store = await h.Store().start()
    replicas = [await Writer(record, f"i-{number + 2}").start() for number in range(2)]
    store.set("op", "config", h.configuration([h.route("plan", "bulk", "rota-writer", completion_window_ms=18000, retention_s=60),
                                               h.desk_route()], ["rota-writer", h.DESK_SERVICE]))
    desks = await h.start_desks(record, store)
    for replica in replicas:
        replica.register(store, "rota-writer")
    gateway = h.Gateway(folder, record, "front-1", store, MEMORY_MB)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    limit = h.MemoryLimit(record, gateways)
    record(f"memory in calm: {gateway.status('VmHWM')} KiB")

    status, _, _ = await h.call(gateway.callers, "POST", "/plan/lot", {"Request-Id": JOB, "Content-Type": "application/json"}, submission())
    record(f"answered {JOB} POST /plan/ with {ITEMS} items: {status}")
    if status != 202:
        raise h.CouldNotRun("the job is not accepted")
    for _ in range(60):
        count = await listed(gateway)
        if count == ITEMS - 1:
            break
        await asyncio.sleep(0.5)
    else:
        raise h.CouldNotRun(f"only {count} results are listed")
    limit.check(gateway)
    record(f"{count} results listed, the last item runs; peak of front-1: {limit.peaks[('front-1', 1)]} KiB")

    ordinary = h.OrdinaryRequests(record, desks)
    await ordinary.send(gateway, ORDINARY)
    readers = []
    for number in range(READERS):
        if limit.killed:
            break
        record(f"reader {number} sent GET /-/lots/{JOB}?after=0")
        if trouble:
            reader = await h.Connection(gateway.callers, segment=SEGMENT, window=WINDOW).open()
            await reader.send("GET", f"/-/lots/{JOB}?after=0")  # And takes no more of the answer than its window holds.
            readers.append(reader)
        else:
            status, _, body = await h.call(gateway.callers, "GET", f"/-/lots/{JOB}?after=0")
            record(f"reader {number} answered {status}, {len(body)} bytes")
        await asyncio.sleep(0.2)
        limit.check(gateway)
        record(f"peak of front-1: {limit.peaks[('front-1', 1)]} KiB")
    lost = await ordinary.lost()
    record(f"ordinary requests lost: {lost}; processes beyond their memory: {limit.killed}")
    for reader in readers:
        reader.close()
    limit.stop()
    return lost <= h.OrdinaryRequests.ALLOWED


h.main(HERE, case)
