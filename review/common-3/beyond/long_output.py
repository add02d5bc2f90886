"""An output of 800 kB, which fits into a page of results, can never be recorded: one transaction would exceed the store's megabyte."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

import harness as h

SERVICE = "rota-writer"
JOB = "7c41e09b52d6a3f8"
ITEMS = 10
FINISH_S = 18


class Writer(h.Replica):
    """Streams small outputs, and one of as many kilobytes as its path says."""

    async def run(self, request, writer, fields):
        await self.stream(request, writer, fields, int(request.path.rsplit("/", 1)[1]), 1000, 0.001)


async def case(record, folder, gateways, trouble):
    store = await h.Store().start()
    replica = await Writer(record, "i-1").start()
    store.set("op", "config", h.configuration([h.route("plan", "bulk", SERVICE, completion_window_ms=18000, retention_s=60)], [SERVICE]))
    replica.register(store, SERVICE)
    gateways.append(h.Gateway(folder, record, "front-1", store, 290))
    gateways[0].start()
    await gateways[0].wait_ready()
    items = [{"id": f"{number:016x}", "path": f"/plan/{800 if trouble and number == 0 else 1}", "headers": {"Model": "m"}, "body": "cGxhbg==",
              "tokens": 940} for number in range(ITEMS)]
    status, _, _ = await h.call(gateways[0].callers, "POST", "/plan/lot", {"Request-Id": JOB}, json.dumps({"items": items}).encode())
    record(f"front-1 answered {JOB}: {status}")
    for _ in range(FINISH_S // 2):
        await asyncio.sleep(2)
        _, _, body = await h.call(gateways[0].callers, "GET", f"/-/lots/{JOB}?after=0")
        listed = json.loads(body)["next"]
        record(f"{listed} of {ITEMS} listed; runs {len(replica.runs)}; transactions refused by the store {len(store.refused)} {store.refused[-1:]}")
    return listed == ITEMS


h.main(HERE, case)
