"""Channels are reset while the items of a batch submission, which share a part of their prompts, wait for their first tokens."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import BROKEN, HELD, Gateway, Replica, Store, Unable, configuration, results, route, run, submit

ITEMS = 3
FINISH_S = 18.0  # finish_s of the site.
FAILED_S = 20.0  # Items that failed at a replica in the last 20 s do not count.
CALM_S = 5.0
LARGEST_DOSE = 0.55  # Share of a machine's connections that are reset, in the site's list of troubles.
JOB = "a1b2c3d4e5f60718"


async def case(record, folder, gateways, disruption):
    store = Store(record)
    await store.start(3)
    store.set_json("op", "config", configuration(3, [route("lots", "bulk", "model")], ["model"]))
    replicas = [Replica(record, store, "replica-%d" % number, "model", events=100, event_s=0.03, first_s=0.4) for number in range(3)]
    for replica in replicas:
        await replica.start()
    for index in range(3):
        gateways.append(Gateway(record, folder, index, store.address(index)))
    for gateway in gateways:
        await gateway.started()
        await gateway.is_ready()
    await asyncio.sleep(4.0)
    await submit(record, gateways[0], JOB, ITEMS, "/lots/")
    for _ in range(100):
        if sum(len(replica.busy) for replica in replicas) == ITEMS:
            break
        await asyncio.sleep(0.002)
    if [len(replica.busy) for replica in replicas] != [1, 1, 1]:
        raise Unable("the items do not run at three replicas")
    failed_at = record.now()
    open_channels = ITEMS + sum(channel.owner == 0 for channel in store.channels)
    record.say("the gateway has %d channels open to the store and to replicas" % open_channels)
    if ITEMS > LARGEST_DOSE * open_channels:
        raise Unable("more channels would be reset than the site allows")
    if disruption:
        for replica in replicas:
            for request in list(replica.busy):
                replica.reset(request)
    listed = []
    while record.now() < failed_at + FAILED_S + CALM_S and len(listed) < ITEMS:
        found = await results(gateways[1], JOB)
        listed = found if found is not None else listed
        await asyncio.sleep(0.5)
    items = [at for replica in replicas for at, _ in replica.runs]
    record.say("%d of %d results %.1f s after the reset; runs of items: %d, the last began %.1f s ago"
               % (len(listed), ITEMS, record.now() - failed_at, len(items), record.now() - max(items)))
    if len(listed) == ITEMS:
        return HELD
    calm = all(record.now() - at > FAILED_S for at in items) and not any(replica.running for replica in replicas)
    return BROKEN if calm else HELD


run(case, os.path.dirname(os.path.abspath(__file__)), disruption=os.environ.get("TROUBLE", "1") != "0")
