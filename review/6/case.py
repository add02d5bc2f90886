"""Items that can never be done take every replica out of rotation for the sound items of other batch submissions."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import fleet as fleets  # noqa: E402
import lost  # noqa: E402

SUBMISSIONS = 20  # One of them, 5 in 100, can never be done.
USUAL_S = 1 / 0.514  # Between two submissions at the site's usual rate.
BURST = 9  # The last submissions come at six times that rate, for 3 s: the site's `burst` of this kind of request.
ITEMS = 10
FAILING_ITEMS = 24


async def case(fleet):
    fleet.configure([fleets.bulk_route("plans")])
    await fleet.add_replicas(3, events=10, event_s=0.03)
    await fleet.add_gateways(2)

    batches = {}
    due = time.monotonic()
    for number in range(SUBMISSIONS):
        fails = number == SUBMISSIONS - BURST
        if not fails or fleets.trouble():
            count = FAILING_ITEMS if fails else ITEMS
            bodies = [(b"fails %d" if fails else b"plan %d") % n for n in range(count)]
            submission, items, status = await fleet.submit(fleet.gateways[number % 2], "plans", bodies)
            if status != 202:
                raise fleets.CannotRun("a batch submission was answered %d" % status)
            batches[submission] = items
        due += USUAL_S if number < SUBMISSIONS - BURST else USUAL_S / 6
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    fleet.log("traffic has ended")

    held = await lost.holds_after_finish(fleet, fleet.gateways[0], batches, time.monotonic())
    failed = sorted(run.ended for replica in fleet.replicas for run in replica.runs if run.status == 500)
    if failed:
        first = sum(at < failed[0] + 1 for at in failed)
        fleet.log("runs answered 500: %d within a second, %d later, in all at three replicas" % (first, len(failed) - first))
    return held


fleets.play(case)
