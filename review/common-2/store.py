"""A stand-in of the platform's store: rows, changes and objects. Each gateway reaches it by a port of its own."""

import asyncio
import base64
import json
import time

import http11

TRANSACTION_S = 0.005


class Store:
    def __init__(self):
        self.version = 1
        self.rows = {}  # (table, part, key) -> (version, value in base64, deleted)
        self.log = []  # (version, name), in order
        self.objects = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.silence = {}  # (gateway, table) -> event set once that feed's channel has become silent

    async def listen(self, gateway):
        server = await http11.serve(lambda request: self.handle(gateway, request))
        self.servers.append(server)
        return http11.port_of(server)

    def put(self, table, key, value, part=""):
        self.commit([((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def remove(self, table, key, part=""):
        self.commit([], [(table, part, key)])

    def commit(self, puts, removals):
        self.version += 1
        for name, value in puts:
            self.rows[name] = (self.version, value, False)
            self.log.append((self.version, name))
        for name in removals:
            if name in self.rows and not self.rows[name][2]:
                self.rows[name] = (self.version, "", True)
                self.log.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def silence_feed(self, gateway, table):
        """From its next call on, the channel on which a gateway follows a table delivers nothing more; new channels work."""
        event = asyncio.Event()
        self.silence[(gateway, table)] = event
        return event

    def row_json(self, name, row):
        version, value, deleted = row
        entry = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        entry.update({"deleted": True} if deleted else {"value": value})
        return entry

    async def answer(self, request, status, body):
        body.update({"ver": self.version, "now_ms": int(time.monotonic() * 1000)} if "ver" not in body else {"now_ms": int(time.monotonic() * 1000)})
        await http11.respond(request, status, [("Content-Type", "application/json")], json.dumps(body).encode())

    async def handle(self, gateway, request):
        if request.path == "/-/rows-tx":
            return await self.transaction(request)
        if request.path == "/-/rows-get":
            return await self.read(request)
        if request.path == "/-/rows-feed":
            return await self.feed(gateway, request)
        kind, _, name = request.path[3:].partition("/")
        if kind == "blob-put":
            status = 412 if name in self.objects else 200
            self.objects.setdefault(name, request.body)
            return await http11.respond(request, status)
        if kind == "blob-get":
            return await http11.respond(request, 200 if name in self.objects else 404, (), self.objects.get(name, b""))
        if kind == "blob-drop":
            self.objects.pop(name, None)
            return await http11.respond(request, 200)
        return await http11.respond(request, 404)

    async def transaction(self, request):
        if len(request.body) > 1 << 20:
            return await http11.respond(request, 413)
        await asyncio.sleep(TRANSACTION_S)
        body = json.loads(request.body)
        name_of = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        failed = []
        for entry in body.get("precondition", []):
            version, _, deleted = self.rows.get(name_of(entry), (0, "", True))
            if (0 if deleted else version) != entry["ver"]:
                failed.append(name_of(entry))
        if failed:
            rows = [self.row_json(name, self.rows[name]) for name in failed if name in self.rows and not self.rows[name][2]]
            return await self.answer(request, 412, {"rows": rows})
        self.commit([(name_of(entry), entry["value"]) for entry in body.get("puts", [])], [name_of(entry) for entry in body.get("remove", [])])
        return await self.answer(request, 200, {})

    async def read(self, request):
        table, part = request.query("table"), request.query("part")
        first, last = request.query("from"), request.query("to")
        limit = min(int(request.query("limit", "500")), 500)
        names = sorted(
            (name for name, row in self.rows.items() if name[:2] == (table, part) and not row[2] and name[2] >= first and (not last or name[2] < last)),
            key=lambda name: name[2].encode(),
        )
        rows, size = [], 0
        for name in names[:limit]:
            size += len(self.rows[name][1]) + 200
            if rows and size > 1 << 20:
                break
            rows.append(self.row_json(name, self.rows[name]))
        return await self.answer(request, 200, {"rows": rows, "has_more": len(rows) < len(names)})

    async def feed(self, gateway, request):
        table, after = request.query("table"), int(request.query("after", "0"))
        silent = self.silence.pop((gateway, table), None)
        if silent:
            silent.set()
            await request.reader.read()  # Until the gateway closes the channel.
            return False
        until = time.monotonic() + int(request.query("wait_ms", "0")) / 1000
        while True:
            rows, version = self.changes(table, after)
            left = until - time.monotonic()
            if rows or left <= 0:
                return await self.answer(request, 200, {"rows": rows, "ver": version})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def changes(self, table, after):
        newest = {}
        for version, name in reversed(self.log):
            if version <= after:
                break
            if name[0] == table and name not in newest:
                newest[name] = self.rows[name]
        ordered = sorted(newest.items(), key=lambda entry: entry[1][0])
        rows, size, version = [], 0, self.version
        for name, row in ordered:
            size += len(row[1]) + 200
            if len(rows) == 500 or (rows and size > 1 << 20):
                version = rows[-1]["ver"]
                break
            rows.append(self.row_json(name, row))
        return rows, version
