"""A stand-in of a replica: streams of events for items and streaming routes, whole answers for others."""

import asyncio
import json
import time

import http11

HEARTBEAT_S = 1.2
QUEUE = 24


class Run:
    def __init__(self, replica, request):
        self.replica = replica
        self.id = request.field("Request-Id")
        self.after = int(request.field("Last-Event-Id", "0") or 0)
        self.begun = time.monotonic()
        self.ended = None
        self.status = None  # None: broken off


class Replica:
    """Answers 500 to a body that begins with "fails", and ends under one that begins with "crashes"."""

    def __init__(self, store, log, name, service="s", slots=8, events=10, event_s=0.03, zone="z", restart_s=2.0):
        self.store, self.log, self.name, self.service = store, log, name, service
        self.slots, self.events, self.event_s, self.zone, self.restart_s = slots, events, event_s, zone, restart_s
        self.runs = []
        self.crashes = []  # (time, request id)
        self.arrivals = []  # (time, request id), of the requests that were not rejected
        self.running = 0
        self.waiting = 0
        self.starts = 0
        self.seq = 0
        self.server = None
        self.writers = set()

    @property
    def id(self):
        return "%s-%d" % (self.name, self.starts)

    async def start(self):
        self.starts += 1
        self.seq = 0
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.born = int(time.time() * 1000)
        self.server = await http11.serve(self.handle)
        self.port = http11.port_of(self.server)
        self.register()
        self.beat = asyncio.create_task(self.heartbeats())

    def register(self):
        self.seq += 1
        self.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.born,
            },
        )

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def crash(self, request):
        """Ends as a process that is killed: all channels break, nothing is said, the registration lapses."""
        if self.server is None:
            return
        self.crashes.append((time.monotonic(), request))
        self.log("replica %s crashed under %s" % (self.id, request))
        self.beat.cancel()
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.create_task(self.come_back(self.id))

    async def come_back(self, old):
        await asyncio.sleep(self.restart_s)
        await self.start()
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - self.restart_s))
        self.store.remove("servers", old)

    async def handle(self, request):
        if request.path == "/health":
            return await http11.respond(request, 200, [("Instance-Id", self.id)])
        echo = [("Request-Id", request.field("Request-Id"))]
        expected = request.field("Expect-Instance")
        if expected and expected != self.id:
            return await http11.respond(request, 421, echo + [("Instance-Id", self.id)])
        if self.waiting >= QUEUE:
            return await http11.respond(request, 503, echo + [("Not-Executed", "1")])
        self.arrivals.append((time.monotonic(), request.field("Request-Id")))
        self.writers.add(request.writer)
        gone = asyncio.create_task(self.wait_until_closed(request))
        work = asyncio.create_task(self.work(request, echo))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                await asyncio.wait({work})
                return False
            return work.result()
        finally:
            gone.cancel()
            self.writers.discard(request.writer)

    async def wait_until_closed(self, request):
        while not request.reader.at_eof() and request.reader.exception() is None:
            await asyncio.sleep(0.02)

    async def work(self, request, echo):
        self.waiting += 1
        try:
            await self.slot.acquire()
        finally:
            self.waiting -= 1
        slot = self.slot
        run = Run(self, request)
        self.runs.append(run)
        self.running += 1
        try:
            return await self.run(request, run, echo)
        except (ConnectionError, asyncio.CancelledError):
            return False
        finally:
            run.ended = time.monotonic()
            self.running -= 1
            slot.release()

    async def run(self, request, run, echo):
        stamp = echo + [("Response-Stamp", "s.%s" % run.id), ("Weight-Versions", "1")]
        if request.body.startswith(b"crashes"):
            await asyncio.sleep(self.event_s)
            self.crash(run.id)
            return False
        if request.body.startswith(b"fails"):
            await asyncio.sleep(self.event_s)
            run.status = 500
            await http11.respond(request, 500, stamp, b"failed")
            return True
        if request.path.startswith("/safe/"):
            await asyncio.sleep(self.event_s)
            run.status = 200
            await http11.respond(request, 200, stamp, b"answer to " + run.id.encode())
            return True
        request.writer.write(http11.head_bytes(200, stamp + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for number in range(run.after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: %s/%d\n\n" % (number, run.id.encode(), number)
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()
        run.status = 200
        return True

    def output_of(self, item):
        return "\n".join("%s/%d" % (item, number) for number in range(1, self.events + 1))
