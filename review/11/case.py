"""One request with Expect-Version takes the replicas of a service out of use at each gateway that it reaches."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
sys.dont_write_bytecode = True

import harness as h

MEMORY_MB = 130  # Of a machine of the sheet of Nekomori.
GATEWAYS = 2
REPLICAS = 4
ITEMS = 60  # Of each of the two submissions.
ITEM_S = 1.0
HEARTBEAT_S = 1.2  # heartbeat_ms
FINISH_S = 18.0  # finish_s
CALM_S, STILL_S = 5.0, 3.0  # "in the last 5 s, which were calm", "in the last 3 s no item [...] was finished"
SERVICE = "rota-writer"
VERSION = "1"  # Of the weights of all replicas.


class Writer(h.Replica):
    """A model replica: answers with 421 if a request expects other weights, as PROTOCOL.md says, and else runs it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.worked_at = self.finished_at = 0

    async def handle(self, request, writer):
        if request.field("Expect-Instance") in ("", self.identity) and request.field("Expect-Version") not in ("", VERSION):
            self.record(f"{self.identity} answers {request.field('Request-Id')} with 421: it expects version {request.field('Expect-Version')}")
            await self.answer(writer, 421, b"", {"Request-Id": request.field("Request-Id"), "Weight-Versions": VERSION})
            return None
        return await super().handle(request, writer)

    async def run(self, request, writer, fields):
        if request.path.startswith("/ask/"):
            return await super().run(request, writer, fields)
        try:
            await self.stream(request, writer, fields, 10, 60, ITEM_S / 10)
            self.finished_at = time.monotonic()
        finally:
            self.worked_at = time.monotonic()
        return None


def submission(number):
    items = [{"id": f"{number:08x}{item:08x}", "path": "/plan/3/x", "headers": {"Model": "m", "Token-Count": "540,400"}, "body": "cGxhbg==",
              "tokens": 940} for item in range(ITEMS)]
    return json.dumps({"items": items}).encode()


async def listed(gateways, job):
    """How many items of a job are listed; the most that a gateway lists."""
    counts = []
    for gateway in gateways:
        status, _, body = await h.call(gateway.callers, "GET", f"/-/lots/{job}?after=0")
        if status == 200:
            counts.append(json.loads(body)["next"])
    if not counts:
        raise h.CouldNotRun("no gateway reads the job")
    return max(counts)


async def check_in(store, replicas):
    while True:
        for replica in replicas:
            replica.register(store, SERVICE)
        await asyncio.sleep(HEARTBEAT_S)


async def ask(record, gateway, identity, fields=None):
    status, _, _ = await h.call(gateway.callers, "POST", "/ask/x", {"Request-Id": identity, "Deadline-Ms": "3000", **(fields or {})}, b"x")
    record(f"{gateway.name} answered {identity} POST /ask/x {fields or ''}: {status}")
    return status


async def case(record, folder, gateways, trouble):
    store = await h.Store().start()
    replicas = [await Writer(record, f"i-{number}").start() for number in range(REPLICAS)]
    store.set("op", "config", h.configuration([h.route("plan", "bulk", SERVICE, completion_window_ms=18000, retention_s=60),
                                               h.route("ask", "safe", SERVICE, max_attempts=2)], [SERVICE]))
    heartbeats = asyncio.create_task(check_in(store, replicas))
    for number in range(GATEWAYS):
        gateways.append(h.Gateway(folder, record, f"front-{number + 1}", store, MEMORY_MB))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(2)  # Until each knows the other.

    jobs = [f"{0x7c41e09b00000000 + number:016x}" for number in range(GATEWAYS)]
    for number, (job, gateway) in enumerate(zip(jobs, gateways)):
        status, _, _ = await h.call(gateway.callers, "POST", "/plan/lot", {"Request-Id": job, "Content-Type": "application/json"}, submission(number))
        record(f"{gateway.name} answered {job} POST /plan/ with {ITEMS} items: {status}")
        if status != 202:
            raise h.CouldNotRun("a job is not accepted")
    await asyncio.sleep(0.3)
    for number, gateway in enumerate(gateways):  # The client tries again, at another node, after a promise.
        status = await ask(record, gateway, f"{0xa5c00000 + number:016x}", {"Expect-Version": "2"} if trouble else None)
        if status == 200:
            break
    ended_at = time.monotonic()
    for second in range(int(FINISH_S)):
        await asyncio.sleep(max(0, ended_at + second + 1 - time.monotonic()))
        if second % 3 == 0:
            counts = [await listed(gateways, job) for job in jobs]
            record(f"listed {counts} of {ITEMS} each; {sum(replica.running for replica in replicas)} of {REPLICAS * 8} slots in use")
    now = time.monotonic()
    open_items = sum([ITEMS - await listed(gateways, job) for job in jobs])
    idle = all(replica.running == 0 and now - replica.worked_at > CALM_S for replica in replicas)
    still = all(now - replica.finished_at > STILL_S for replica in replicas)
    for number, gateway in enumerate(gateways):
        await ask(record, gateway, f"{0xa5d00000 + number:016x}")
    heartbeats.cancel()
    record(f"{FINISH_S} s after the traffic: {open_items} items of open submissions are not listed; all replicas idle for {CALM_S} s: {idle}; "
           f"no item finished for {STILL_S} s: {still}")
    return not (open_items and idle and still)


h.main(HERE, case)
