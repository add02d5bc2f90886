"""LOST of batch submissions: an item is listed neither as succeeded nor as errored when finish_s is over, with the rule's excuses."""

import asyncio
import time

import fleet as fleets

FINISH_S = 18.0


async def holds_after_finish(fleet, reader, batches, begun):
    """Waits until finish_s is over, counted from begun, the end of the traffic. The batches are open: id -> ids of the items."""
    await asyncio.sleep(max(0.0, begun + FINISH_S - 5 - time.monotonic()))
    five_before = await listed(fleet, reader, batches)
    await asyncio.sleep(2)
    three_before = await listed(fleet, reader, batches)
    await asyncio.sleep(3)
    end = time.monotonic()
    at_end = await listed(fleet, reader, batches)
    return judge(fleet, batches, five_before, three_before, at_end, end)


async def listed(fleet, reader, batches):
    found = {}
    for submission in batches:
        results, status = await fleet.results(reader, submission)
        if results is None:
            raise fleets.CannotRun("a batch submission could not be read: %d" % status)
        found[submission] = {result["id"]: result for result in results}
    fleet.log("listed: %d of %d items" % (sum(map(len, found.values())), sum(len(items) for items in batches.values())))
    return found


def judge(fleet, batches, five_before, three_before, at_end, end):
    runs = [run for replica in fleet.replicas for run in replica.runs]
    recent = [run for run in runs if run.ended is None or run.ended > end - 5]
    # A run that its sender ends within a second counts neither as had nor as failed.
    lasting = [run for run in recent if run.status is not None or (run.ended or end) - run.begun > 1]
    failed = {run.id for run in runs if run.status not in (None, 200) and run.ended > end - 20}
    failed |= {run.id for run in runs if run.status is None and (run.ended or end) > end - 20 and (run.ended or end) - run.begun > 1}
    busy = sum(min(end, run.ended or end) - max(end - 5, run.begun) for run in recent) / 5
    slots = sum(replica.slots for replica in fleet.replicas)
    waiting = sum(len(items) - len(at_end[submission]) for submission, items in batches.items())
    finished_3 = sum(len(at_end[submission]) - len(three_before[submission]) for submission in batches)
    finished_5 = sum(len(at_end[submission]) - len(five_before[submission]) for submission in batches)
    fleet.log("last 5 s: %.1f of %d slots in use on average, %d items finished (last 3 s: %d), %d wait" % (busy, slots, finished_5, finished_3, waiting))
    progress = finished_3 > 0 and finished_5 >= waiting / 10
    lost = 0
    for submission, items in batches.items():
        unlisted = [item for item in items if item not in at_end[submission]]
        had = [run for run in lasting if run.id in unlisted]
        owed = [item for item in unlisted if item not in failed]
        if owed:
            fleet.log("submission %s: %d items not listed, %d of them not failed at a replica in the last 20 s" % (submission, len(unlisted), len(owed)))
        if owed and not had and busy < slots / 2 and not progress:
            lost += len(owed)
    fleet.log("%d items lost" % lost)
    return lost == 0
