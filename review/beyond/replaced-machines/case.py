"""Machines are removed for good and replaced at new addresses; the owner of a batch submission is the last of them."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "common"))
from standins import BROKEN, HELD, Gateway, Replica, Store, configuration, results, route, run, submit, Unable

REPLACED = int(os.environ.get("REPLACED", "104"))
AT_ONCE = 8
ITEMS = 10
FINISH_S = 18.0  # finish_s of the site.
CALM_S = 5.0


async def case(record, folder, gateways, disruption):
    store = Store(record)
    await store.start()
    store.set_json("op", "config", configuration(1, [route("lots", "bulk", "model")], ["model"]))
    replicas = [Replica(record, store, "replica-%d" % number, "model", events=100, event_s=0.03) for number in range(3)]
    for replica in replicas:
        await replica.start()

    def start(index, share):
        gateway = Gateway(record, folder, index, store.address(), processor_share=share)
        gateways.append(gateway)
        return gateway

    async def end_for_good(gateway):
        gateway.signal(signal.SIGKILL)
        gateway.end()

    # Each machine that goes is followed by one at another address, until the last three are those that stay.
    if disruption:
        for first in range(0, REPLACED, AT_ONCE):
            group = [start(index, 0.5) for index in range(first, min(first + AT_ONCE, REPLACED))]
            for gateway in group:
                await gateway.started()
                await gateway.is_ready()
            for gateway in group:
                for _ in range(100):
                    if gateway.lines("gateway_registered"):
                        break
                    await asyncio.sleep(0.02)
                await end_for_good(gateway)
        record.say("%d machines were removed for good" % REPLACED)
    stay = [start(REPLACED + number, 0.25) for number in range(3)]
    for gateway in stay:
        await gateway.started()
        await gateway.is_ready()
    await asyncio.sleep(4.0)
    owner, others = stay[0], stay[1:]
    await submit(record, owner, "a1b2c3d4e5f60718", ITEMS, "/lots/")
    await asyncio.sleep(1.0)
    if disruption or os.environ.get("ALWAYS_LAST"):
        await end_for_good(owner)
    until = record.now() + FINISH_S + CALM_S
    listed = []
    while record.now() < until:
        found = await results(others[0], "a1b2c3d4e5f60718")
        if found is not None and len(found) != len(listed):
            record.say("results listed: %d of %d" % (len(found), ITEMS))
        listed = found if found is not None else listed
        if len(listed) == ITEMS:
            break
        await asyncio.sleep(0.5)
    last_run = max((at for replica in replicas for at, _ in replica.runs), default=0.0)
    record.say("end: %d of %d results, last run of an item began %.1f s ago, %d runs in progress"
               % (len(listed), ITEMS, record.now() - last_run, sum(replica.running for replica in replicas)))
    if len(listed) == ITEMS:
        return HELD
    calm = record.now() - last_run > CALM_S and not any(replica.running for replica in replicas)
    return BROKEN if calm else HELD


run(case, os.path.dirname(os.path.abspath(__file__)), disruption=os.environ.get("TROUBLE", "1") != "0")
