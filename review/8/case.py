"""After the loss of the strongest machines of a large fleet nobody takes over the batch submissions of the others that were lost."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import fleet as fleets  # noqa: E402
import lost  # noqa: E402

STRONG = 16  # Of 0.5 cores; all others have 0.12.
WEAK = 91
ITEMS = 10


async def case(fleet):
    fleet.configure([fleets.bulk_route("plans")])
    await fleet.add_replicas(3, events=60, event_s=0.05)
    await fleet.add_gateways(STRONG, processor_share=0.5)
    await fleet.add_gateways(WEAK, processor_share=0.12)
    fleet.log("%d gateways are ready" % (STRONG + WEAK))
    await asyncio.sleep(5)
    owner, reader = fleet.gateways[STRONG], fleet.gateways[-1]
    submission, items, status = await fleet.submit(owner, "plans", [b"plan %d" % n for n in range(ITEMS)])
    if status != 202:
        raise fleets.CannotRun("the batch submission was answered %d" % status)
    await asyncio.sleep(0.2)
    ended = time.monotonic()
    if fleets.trouble():
        gone = fleet.gateways[: STRONG + 1]
        for gateway in gone:
            gateway.kill()
        fleet.log("%d of %d machines were lost for good, among them the one that accepted the batch submission" % (len(gone), STRONG + WEAK))
    return await lost.holds_after_finish(fleet, reader, {submission: items}, ended)


fleets.play(case, memory_mb=160)
