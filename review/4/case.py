"""The open channels to the store go silent; a replica's entry is removed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import BROKEN, HELD, Gateway, Replica, Store, configuration, call, route, run

DRAIN_S = 2.0
CONTACT_S = 3.0
MARGIN_S = 0.1  # For the clocks of the stand-ins.


async def case(record, folder, gateways, disruption):
    store = Store(record)
    await store.start()
    store.set_json("op", "config", configuration(3, [route("orders", "safe", "desk")], ["desk"]))
    replicas = [Replica(record, store, "desk-%d" % number, "desk", work_s=0.1) for number in range(3)]
    for replica in replicas:
        await replica.start()
    gateways.append(Gateway(record, folder, 0, store.address()))
    gateway = gateways[0]
    await gateway.started()
    await gateway.is_ready()
    await asyncio.sleep(3.0)
    sent = {}
    tasks = []

    async def order(number):
        name = "b%015x" % number
        sent[name] = record.now()
        status, _ = await call(gateway.callers, "POST", "/orders/1", {"Request-Id": name, "Deadline-Ms": "1500"}, b"order")
        record.note("client: %s sent at %.3f answered %d" % (name, sent[name], status))

    async def orders(until):
        while record.now() < until:
            tasks.append(asyncio.create_task(order(len(sent))))
            await asyncio.sleep(0.03)

    await orders(record.now() + 2.0)
    silent_at = record.now()
    if disruption:
        record.say("%d open channels to the store go silent" % store.silence(0))
    await orders(record.now() + 0.1)
    replicas[0].leave()  # It serves on for drain_ms and longer.
    acked_at = record.now()
    await orders(silent_at + 8.0)
    await asyncio.gather(*tasks)
    last = max((at for at, _ in replicas[0].runs), default=silent_at)
    record.say("the last request reached the replica %.2f s after the ack of its removal" % (last - acked_at))
    limit = max(acked_at + DRAIN_S, silent_at + CONTACT_S) + MARGIN_S
    late = [name for at, name in replicas[0].runs if at > limit]
    record.say("%d requests reached it later than that may be" % len(late))
    return BROKEN if late else HELD


run(case, os.path.dirname(os.path.abspath(__file__)), disruption=os.environ.get("TROUBLE", "1") != "0")
