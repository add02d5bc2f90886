"""A job body within the limits of the desired state takes the gateway beyond its machine's memory."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

import harness as h

MEMORY_MB = 130  # Of a machine of the sheet of Nekomori.
ORDINARY = 8  # Clients with a request in progress on a kept connection.
LARGEST_BODY = 4194304  # max_body_bytes of the desired state.


def large_body(unit):
    """A body of the largest size, with many small values."""
    begin, end = b'{"items":[', b"0]}"
    return begin + unit * ((LARGEST_BODY - len(begin) - len(end)) // len(unit)) + end


async def case(record, folder, gateways, trouble):
    store = await h.Store().start()
    store.set("op", "config", h.configuration([h.route("plan", "bulk", "rota-writer", completion_window_ms=18000, retention_s=60),
                                               h.desk_route()], ["rota-writer", h.DESK_SERVICE]))
    desks = await h.start_desks(record, store)
    gateway = h.Gateway(folder, record, "front-1", store, MEMORY_MB)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    limit = h.MemoryLimit(record, gateways)
    record(f"memory in calm: {gateway.status('VmHWM')} KiB")

    ordinary = h.OrdinaryRequests(record, desks)
    await ordinary.send(gateway, ORDINARY)
    bodies = [b'{"items":[0]}'] * 2
    if trouble:
        bodies = [large_body(b"[" * 28 + b"0" + b"]" * 28 + b","), large_body(b"0,")]
    for number, body in enumerate(bodies):
        identity = f"{0xb0d1e500 + number:016x}"
        record(f"sent {identity} POST /plan/ with a body of {len(body)} bytes, allowed {LARGEST_BODY}")
        try:
            status, _, _ = await h.call(gateway.callers, "POST", "/plan/lot", {"Request-Id": identity, "Content-Type": "application/json"}, body)
            record(f"answered {identity}: {status}")
        except (h.Unanswered, OSError, asyncio.TimeoutError) as error:
            record(f"no answer to {identity}: {error}")
        limit.check(gateway)
        record(f"peak of front-1: {limit.peaks.get(('front-1', 1))} KiB")

    lost = await ordinary.lost()
    record(f"ordinary requests lost: {lost}; processes beyond their memory: {limit.killed}")
    limit.stop()
    return lost <= h.OrdinaryRequests.ALLOWED


h.main(HERE, case)
