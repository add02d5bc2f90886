"""Stand-ins of the platform's store, of replicas and of clients, as PROTOCOL.md describes them, and a runner of gateways.

All sockets are on loopback addresses. The stand-ins live in the process of the case; gateways are processes of their own, started
with the command of the deploy file. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/banyan-gateway"
HOST = "ficu95.example"
MEGABYTE = 1 << 20
MOST_ENTRIES = 100  # Of one transaction.
MOST_ROWS = 500  # Of one page.
ROW_BYTES = 65536
BLOB_BYTES = 8388608
ANSWER_SECONDS = 0.004  # Of the store, as the sheets say.
BLOB_SECONDS = 0.025
BLOB_BYTES_A_SECOND = 80 * MEGABYTE
BLOB_PIECE = 65536
HEARTBEAT_SECONDS = 1.2  # heartbeat_ms
QUEUE = 24  # Requests that a replica keeps waiting.

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be brought about, so that nothing was shown."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        self._file.close()


FIRST_PORT, LAST_PORT = 20000, 32000  # Below those that the system gives to outgoing connections.


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    """The first line and the fields of a message; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.split("\r\n")
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields, until_end=False):
    """The whole body. Raises IncompleteReadError if the connection ends before it."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


class HttpServer:
    """Serves keep-alive connections; subclasses answer in handle(), which may return False to close the connection."""

    def __init__(self):
        self.address = None
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=64 * MEGABYTE)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if await self.handle(Request(method, target, head[1], body), writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    @staticmethod
    async def answer(writer, status, body=b"", fields=None):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()


class Store(HttpServer):
    """The platform's store: rows with versions, conditional transactions, a feed of changes, and objects.

    It refuses what exceeds the limits of the page with 413. No fault but those that a case asks for."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part, key): (value, version)
        self.history = []  # (version, table, part, key, value or None)
        self.version = 0
        self.objects = {}
        self.refused = []  # Why transactions were refused.
        self.commits = 0
        self._changed = asyncio.Event()
        self._start = time.monotonic()
        self._blob_free = 0

    def now_ms(self):
        return 50000 + int((time.monotonic() - self._start) * 1000)

    def set(self, table, key, value, part=""):
        self._apply([((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def drop(self, table, key, part=""):
        self._apply([], [(table, part, key)])

    def _apply(self, puts, removals):
        self.version += 1
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.history.append((self.version, name, value))
        for name in removals:
            if self.rows.pop(name, None) is not None:
                self.history.append((self.version, name, None))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": version}

    async def handle(self, request, writer):
        call = request.path.split("/")
        status, answer = 404, {}
        if request.path == "/-/rows-tx":
            status, answer = self.commit(request.body)
        elif request.path == "/-/rows-get":
            status, answer = 200, self.read(request.query)
        elif request.path == "/-/rows-feed":
            status, answer = 200, await self.feed(request.query)
        elif request.path.startswith("/-/blob-put/"):
            status = self.put(call[-1], request)
        elif request.path.startswith("/-/blob-get/"):
            await self.get(call[-1], writer)
            return
        elif request.path.startswith("/-/blob-drop/"):
            status = 200
            self.objects.pop(call[-1], None)
        answer.setdefault("ver", self.version)  # Of the moment of the rows.
        await asyncio.sleep(ANSWER_SECONDS)
        answer["now_ms"] = self.now_ms()
        await self.answer(writer, status, json.dumps(answer).encode(), {"Content-Type": "application/json"})

    async def get(self, name, writer):
        """Sends an object. All calls share BLOB_BYTES_A_SECOND, each in its turn with a piece of BLOB_PIECE bytes."""
        body = self.objects.get(name)
        await asyncio.sleep(BLOB_SECONDS)
        writer.write(f"HTTP/1.1 {404 if body is None else 200} X\r\nContent-Length: {len(body or b'')}\r\n\r\n".encode())
        for begin in range(0, len(body or b""), BLOB_PIECE):
            self._blob_free = max(self._blob_free, time.monotonic()) + BLOB_PIECE / BLOB_BYTES_A_SECOND
            await asyncio.sleep(max(0, self._blob_free - time.monotonic()))
            writer.write(body[begin : begin + BLOB_PIECE])
            await writer.drain()

    def put(self, name, request):
        if len(request.body) > BLOB_BYTES:
            return 413
        if request.field("If-None-Match") == "*" and name in self.objects:
            return 412
        self.objects[name] = request.body
        return 200

    def commit(self, body):
        change = json.loads(body)
        name_of = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        preconditions = change.get("precondition", [])
        puts = [(name_of(entry), entry["value"]) for entry in change.get("puts", [])]
        removals = [name_of(entry) for entry in change.get("remove", [])]
        names = [name_of(entry) for entry in preconditions] + [name for name, _ in puts] + removals
        why = None
        if len(body) > MEGABYTE:
            why = f"a call of {len(body)} bytes"
        elif len(names) > MOST_ENTRIES:
            why = f"a call of {len(names)} entries"
        elif any(len(value) > ROW_BYTES for _, value in puts):
            why = "a row that is too large"
        elif len({name[1] for name in names}) > 1:
            why = "a call across parts"
        if why:
            self.refused.append(why)
            return 413, {}
        current = lambda name: self.rows[name][1] if name in self.rows else 0
        if any(current(name_of(entry)) != entry["ver"] for entry in preconditions):
            return 412, {"rows": [self._row(name_of(entry)) for entry in preconditions if name_of(entry) in self.rows]}
        self._apply(puts, removals)
        self.commits += 1
        return 200, {}

    def read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        limit = min(int(query.get("limit", MOST_ROWS)), MOST_ROWS)
        keys = sorted(name[2] for name in self.rows if name[0] == table and name[1] == part)
        keys = [key for key in keys if key >= query.get("from", "") and ("to" not in query or key < query["to"])]
        rows, size, more = [], 0, False
        for key in keys:
            row = self._row((table, part, key))
            size += len(json.dumps(row))
            if len(rows) == limit or (rows and size > MEGABYTE):
                more = True
                break
            rows.append(row)
        return {"rows": rows, "has_more": more}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            rows, size, version = [], 0, self.version
            for changed, name, value in self.history:
                if name[0] != table or changed <= after:
                    continue
                if size > MEGABYTE and changed != version:
                    break
                row = {"table": name[0], "part": name[1], "key": name[2], "ver": changed}
                row.update({"deleted": True} if value is None else {"value": value})
                size += len(json.dumps(row))
                rows.append(row)
                version = changed
            left = until - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "ver": version if rows else self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(HttpServer):
    """A sound replica of a service. What it does with a request is told by the path below its route; see run()."""

    def __init__(self, record, identity, slots=8):
        super().__init__()
        self.record, self.identity, self.slots = record, identity, slots
        self.running = self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._heartbeat = None
        self.runs = []  # (time, Request-Id)
        self.born = int(time.time() * 1000)
        self.seq = 0

    def register(self, store, service, state="ready", zone="fukuoka"):
        """Writes the entry, and again every heartbeat_ms until leave()."""
        self.stop_checking_in()
        self._check_in(store, service, state, zone)

        async def check_in():
            while True:
                await asyncio.sleep(HEARTBEAT_SECONDS)
                self._check_in(store, service, state, zone)

        self._heartbeat = asyncio.create_task(check_in())

    def _check_in(self, store, service, state, zone):
        self.seq += 1
        store.set("servers", self.identity, {"service": service, "address": self.address, "zone": zone, "version": "v1",
                                             "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": self.seq, "born": self.born})

    def stop_checking_in(self):
        if self._heartbeat is not None:
            self._heartbeat.cancel()
            self._heartbeat = None

    def leave(self, store):
        self.stop_checking_in()
        store.drop("servers", self.identity)

    async def handle(self, request, writer):
        identity = request.field("Request-Id")
        fields = {"Request-Id": identity, "Instance-Id": self.identity}
        if request.method == "GET" and request.path == "/health":
            await self.answer(writer, 200, b"", {"Instance-Id": self.identity})
            return None
        if request.field("Expect-Instance") not in ("", self.identity):
            await self.answer(writer, 421, b"", fields)
            return None
        if not await self._begin(request):
            await self.answer(writer, 503, b"", {**fields, "Not-Executed": "1"})
            return None
        self.running += 1
        self.runs.append((time.monotonic(), identity))
        self.record(f"{self.identity} runs {identity}, {request.method} {request.path}")
        try:
            return await self.run(request, writer, {**fields, "Response-Stamp": "3e1b.07.5a2.600.0.c9f2a4d1"})
        finally:
            self.running -= 1
            self._free.release()

    async def _begin(self, request):
        """Waits for a slot, in a queue of a few requests. False if the queue is full, or the request's time is over before."""
        if self._free.locked() and self.waiting >= QUEUE:
            return False
        limit = request.field("Deadline-Ms")
        self.waiting += 1
        try:
            await asyncio.wait_for(self._free.acquire(), int(limit) / 1000 if limit else None)
            return True
        except asyncio.TimeoutError:
            return False
        finally:
            self.waiting -= 1

    async def run(self, request, writer, fields):
        """Answers with a small body after 15 ms, the work of the sheets' application services."""
        await asyncio.sleep(0.015)
        await self.answer(writer, 200, b"answer to " + request.field("Request-Id").encode(), fields)
        return None

    async def stream(self, request, writer, fields, events, event_bytes, pause):
        """Answers with events that have increasing ids, after Last-Event-Id if the request names one."""
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode("latin-1"))
        first = int(request.field("Last-Event-Id") or 0) + 1
        for number in range(first, events + 1):
            if pause > 0:
                await asyncio.sleep(pause)
            event = f"id: {number}\ndata: {'x' * event_bytes}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Proxy:
    """Passes connections on. silence() makes those that are open then silent for good, without a reset; new ones work.

    @p watched is a part of a request's first line: answered counts what came back on connections that sent it last."""

    def __init__(self, target, watched):
        self._target, self._watched = target, watched.encode()
        self._open = []  # One dictionary a connection.
        self.answered = 0
        self.address = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def silence(self, waiting_only=False):
        """All connections, or only those on which the answer to a watched request is awaited. Returns how many."""
        chosen = [connection for connection in self._open if connection["watched"] or not waiting_only]
        for connection in chosen:
            connection["silent"] = True
        return len(chosen)

    async def _serve(self, reader, writer):
        host, port = self._target.rsplit(":", 1)
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        connection = {"silent": False, "watched": False}
        self._open.append(connection)

        async def pass_on(source, sink, is_request):
            while data := await source.read(65536):
                if connection["silent"]:
                    continue  # Taken, so that the sender sees its bytes acknowledged.
                if is_request and b" HTTP/1.1\r\n" in data:
                    connection["watched"] = self._watched in data
                elif not is_request and connection["watched"]:
                    connection["watched"] = False
                    self.answered += 1
                sink.write(data)
                await sink.drain()

        tasks = [asyncio.create_task(pass_on(reader, to_writer, True)), asyncio.create_task(pass_on(to_reader, writer, False))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._open.remove(connection)
            for end in (writer, to_writer):
                end.close()


class Gateway:
    """One process of the system, run by the command of the deploy file with settings as the template gives them."""

    def __init__(self, folder, record, name, store, memory_mb, settings=None):
        self.record, self.name = record, name
        self.callers, self.ready, self.metrics = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self.memory_mb = memory_mb
        peer = free_port()
        values = {"vm": name, "failure_domain": "fukuoka", "caller_listen": self.callers, "ready_listen": self.ready,
                  "peer_listen": f"127.0.0.1:{peer}", "metrics_listen": self.metrics, "store": store.address,
                  "memory_megabytes": memory_mb, "maximum_descriptors": 8200, "processor_share": 0.5, "shutdown_seconds": 8,
                  "limit_overage": 0.1, "log_level": "info", "log_lines_per_second": 200}
        values.update(settings or {})
        self._settings = pathlib.Path(folder) / f"{name}.yaml"
        self._settings.write_text("".join(f"{key}: {json.dumps(value)}\n" for key, value in values.items()))
        self._log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        self.starts = 0

    def start(self):
        if not (ROOT / PROGRAM).exists():
            raise CouldNotRun(f"{PROGRAM} is not built")
        self.process = subprocess.Popen([PROGRAM, "--settings", str(self._settings)], cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=self._log, stderr=self._log,
                                        env={key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ})
        self.starts += 1
        self.record(f"started {self.name} callers={self.callers} memory_mb={self.memory_mb} start={self.starts}")

    async def wait_ready(self, patience=15):
        end = time.monotonic() + patience
        while time.monotonic() < end:
            try:
                if (await call(self.ready, "GET", "/-/ready", timeout=1))[0] == 200:
                    return
            except (OSError, asyncio.TimeoutError, Unanswered):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} does not become ready")

    def status(self, name):
        """A number from the process's status page, in KiB; None once it has ended."""
        try:
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(name + ":"):
                    return int(line.split()[1])
        except OSError:
            pass
        return None

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self, number=signal.SIGKILL):
        if self.running():
            self.process.send_signal(number)

    def end(self):
        self.kill()
        if self.process is not None:
            self.process.wait()
        self._log.close()


class Unanswered(Exception):
    """An exchange that got no whole answer."""


class Connection:
    """A client's connection. @p segment bounds its segments as a path of the Internet does, @p window what it takes in unread."""

    def __init__(self, address, segment=None, window=None):
        self._address = address
        self._segment, self._window = segment, window
        self.reader = self.writer = None

    async def open(self):
        host, port = self._address.rsplit(":", 1)
        plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        plain.setblocking(False)
        if self._segment:
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self._segment)
        if self._window:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._window)
        await asyncio.get_running_loop().sock_connect(plain, (host, int(port)))
        limit = self._window or 64 * MEGABYTE
        self.reader, self.writer = await asyncio.open_connection(sock=plain, limit=limit)
        return self

    async def send(self, method, target, fields=None, body=b""):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await self.writer.drain()

    async def receive(self):
        """Status, fields and body of a whole answer. Raises Unanswered."""
        head = await read_head(self.reader)
        if head is None:
            raise Unanswered("the connection ended without an answer")
        try:
            body = await read_body(self.reader, head[1], until_end=True)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Unanswered("the connection ended within an answer") from error
        return int(head[0].split(" ")[1]), head[1], body

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def call(address, method, target, fields=None, body=b"", timeout=10):
    """One request on a connection of its own."""
    connection = Connection(address)

    async def exchange():
        await connection.open()
        await connection.send(method, target, fields, body)
        return await connection.receive()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (ConnectionError, BrokenPipeError) as error:
        raise Unanswered(str(error)) from error
    finally:
        connection.close()


def route(name, kind, service, **more):
    values = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 5000, "target_latency_ms": 300,
              "priority": 0, "service": service, "max_attempts": 3}
    values.update(more)
    return values


def configuration(routes, services, version=7):
    """A desired state, with the limits of the sheets."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class MemoryLimit:
    """The platform's memory limit: "A process that exceeds memory_mb is killed." Its peak decides, so that no moment is missed."""

    def __init__(self, record, gateways, restart_after=None):
        """Restarts a process that was killed so many seconds later; not at all if None."""
        self._record, self._gateways, self._restart_after = record, gateways, restart_after
        self.peaks = {}  # By gateway and start, in KiB.
        self.killed = []  # Names, in their order.
        self._restart_at = {}
        self._task = asyncio.create_task(self._watch())

    async def _watch(self):
        while True:
            for gateway in self._gateways:
                self.check(gateway)
                if self._restart_at.get(gateway.name, float("inf")) <= time.monotonic():
                    del self._restart_at[gateway.name]
                    gateway.start()
            await asyncio.sleep(0.005)

    def check(self, gateway):
        peak = gateway.status("VmHWM") if gateway.running() else None
        if peak is None:
            return
        self.peaks[(gateway.name, gateway.starts)] = peak
        if peak > gateway.memory_mb * 1024:
            self._record(f"platform kills {gateway.name}: peak {peak} KiB, allowed {gateway.memory_mb * 1024} KiB")
            gateway.kill()
            gateway.process.wait()
            self.killed.append(gateway.name)
            if self._restart_after is not None:
                self._restart_at[gateway.name] = time.monotonic() + self._restart_after

    def stop(self):
        self._task.cancel()


class SlowDesk(Replica):
    """A sound replica of an application service, whose work takes a few seconds where the path says so."""

    WORK_SECONDS = 3.0

    async def run(self, request, writer, fields):
        if request.path.endswith("/slow"):
            await asyncio.sleep(self.WORK_SECONDS)
        return await super().run(request, writer, fields)


DESK_SERVICE = "visit-desk"
DESKS, DESK_SLOTS = 4, 6  # As on the sheet of Nekomori.


async def start_desks(record, store, kind=SlowDesk):
    """Starts and registers the replicas of the application service."""
    desks = [await kind(record, f"i-desk-{number}", DESK_SLOTS).start() for number in range(DESKS)]
    for desk in desks:
        desk.register(store, DESK_SERVICE)
    return desks


def desk_route():
    """Requests that may run at most once, and have the time that the work of a SlowDesk takes."""
    return route("desk", "unsafe", DESK_SERVICE, timeout_ms=8000)


class OrdinaryRequests:
    """Requests of ordinary clients on kept channels, which a sound replica works on while something else happens.

    LOST: "At any time, a machine in touch passes a request from a kept channel on to a sound replica and closes that channel
    without an answer, more than three times." """

    ALLOWED = 3

    def __init__(self, record, replicas):
        self._record, self._replicas = record, replicas
        self._tasks = []
        self._begun = 0

    async def send(self, gateway, count):
        """Returns when the replica works on all of them."""
        connections = [await Connection(gateway.callers).open() for _ in range(count)]
        for connection in connections:
            identity = self._next_identity()
            await connection.send("POST", "/desk/quick", {"Request-Id": identity, "Deadline-Ms": "5000"}, b"visit")
            status, _, _ = await asyncio.wait_for(connection.receive(), 5)
            if status != 200:
                raise CouldNotRun(f"status {status} for an ordinary request in calm")
        identities = [self._next_identity() for _ in connections]
        for identity, connection in zip(identities, connections):
            await connection.send("POST", "/desk/slow", {"Request-Id": identity, "Deadline-Ms": "8000"}, b"visit")
            self._tasks.append(asyncio.create_task(self._receive(gateway.name, identity, connection)))
        for _ in range(300):
            run = {known for replica in self._replicas for _, known in replica.runs}
            if run.issuperset(identities):
                self._record(f"{count} requests on kept channels of {gateway.name} run at replicas")
                return
            await asyncio.sleep(0.01)
        raise CouldNotRun("ordinary requests do not reach the replica")

    def _next_identity(self):
        self._begun += 1
        return f"{0xf00d0000 + self._begun:016x}"

    async def _receive(self, name, identity, connection):
        try:
            status, _, _ = await asyncio.wait_for(connection.receive(), 15)
            self._record(f"{name} answered {identity}: {status}")
            return True
        except (Unanswered, ConnectionError, asyncio.TimeoutError) as error:
            self._record(f"{name} lost {identity}, which runs at a replica: {error}")
            return False
        finally:
            connection.close()

    async def lost(self):
        """How many got no answer, once all have ended."""
        return (await asyncio.gather(*self._tasks)).count(False)


def main(folder, case):
    """Runs a case and ends all that it started. The case returns whether the rule held."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="banyan-review-")
    gateways = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"begins, trouble={'yes' if trouble else 'no'}")
    result = COULD_NOT_RUN

    async def run():
        try:
            return await asyncio.wait_for(case(record, temporary, gateways, trouble), 110)
        finally:
            for gateway in gateways:
                gateway.end()
            await asyncio.sleep(0.1)  # For the connections to end with them.

    try:
        result = HELD if asyncio.run(run()) else BROKEN
    except CouldNotRun as error:
        record(f"could not run: {error}")
    except asyncio.TimeoutError:
        record("could not run: it takes too long")
    except Exception as error:  # A fault of the case itself shows nothing about the system.
        record(f"could not run: {type(error).__name__}: {error}")
    finally:
        for gateway in gateways:
            gateway.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record(f"ends with {result}")
    record.close()
    sys.exit(result)
