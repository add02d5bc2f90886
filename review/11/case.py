"""Accepted items never run after their route was moved to another service and the replicas of the old one were taken away."""

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
ITEMS = 40  # Of each of the two submissions.
ITEM_S = 1.0
NEW_REPLICAS = 7  # With the old one, 8 in all: one of them is taken away, a share of 0.125.
CONFIG_APPLY_S = 2.0  # config_apply_ms
DRAIN_S = 2.0  # drain_ms
FINISH_S = 18.0  # finish_s
CALM_S, STILL_S = 5.0, 3.0  # "in the last 5 s, which were calm", "in the last 3 s no item [...] was finished"
OLD, NEW = "rota-writer", "rota-writer-b"


class Writer(h.Replica):
    """Runs an item in a second, and notes when it has worked on items last."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.worked_at = self.finished_at = 0

    async def run(self, request, writer, fields):
        try:
            await self.stream(request, writer, fields, 10, 60, ITEM_S / 10)
            self.finished_at = time.monotonic()
        finally:
            self.worked_at = time.monotonic()


def desired_state(version, service):
    return h.configuration([h.route("plan", "bulk", service, completion_window_ms=18000, retention_s=60)], [OLD, NEW], version)


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


async def case(record, folder, gateways, trouble):
    store = await h.Store().start()
    old = await Writer(record, "i-old").start()
    new = [await Writer(record, f"i-new-{number}").start() for number in range(NEW_REPLICAS)]
    replicas = [old, *new]
    store.set("op", "config", desired_state(7, OLD))
    old.register(store, OLD)
    for replica in new:
        replica.register(store, NEW)
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
    await asyncio.sleep(0.5)
    if trouble:
        store.set("op", "config", desired_state(9, NEW))
        record(f"version 9 of the desired state moves the route from {OLD} to {NEW}")
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        old.register(store, OLD, state="draining")
        record("the replica of the old service is draining")
        await asyncio.sleep(DRAIN_S + 1)
        old.leave(store)
        record("the replica of the old service has left")
    ended_at = time.monotonic()
    record("traffic has ended")
    while time.monotonic() < ended_at + FINISH_S:
        await asyncio.sleep(2)
        counts = [await listed(gateways, job) for job in jobs]
        record(f"listed {counts} of {ITEMS} each; runs at the old service {len(old.runs)}, at the new one {sum(len(one.runs) for one in new)}; "
               f"now {old.running} and {sum(one.running for one in new)}, of {old.slots} and {sum(one.slots for one in new)} slots")
    now = time.monotonic()
    open_items = sum([ITEMS - await listed(gateways, job) for job in jobs])
    idle = all(replica.running == 0 and now - replica.worked_at > CALM_S for replica in replicas)
    still = all(now - replica.finished_at > STILL_S for replica in replicas)
    record(f"{FINISH_S} s after the traffic: {open_items} items of open submissions are not listed; all replicas idle for {CALM_S} s: {idle}; "
           f"no item finished for {STILL_S} s: {still}")
    return not (open_items and idle and still)


h.main(HERE, case)
