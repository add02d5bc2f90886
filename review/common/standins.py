"""Stand-ins of the platform (store, operator), of replicas and of clients, and processes of the gateway.

Everything listens on loopback addresses. The stand-ins of one case share an event loop; the gateways are separate processes.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
GATEWAY = os.path.join(REPOSITORY, "target", "banyan-gateway")
TX_SECONDS = 0.005
READ_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.2
QUEUE = 8  # Requests that a replica keeps waiting beyond its slots.

HELD, BROKEN, UNABLE = 0, 1, 2


class Unable(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length or chunks; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def encode(status, fields, body):
    head = "HTTP/1.1 %d X\r\n" % status
    for name, value in fields.items():
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Channel:
    """A connection that the store has accepted."""

    def __init__(self, writer):
        self.writer = writer
        self.silent = asyncio.Event()
        self.call = ""  # The call that is in progress.
        self.owner = ""


class Store:
    """The platform's metadata store, form "table"."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.blobs = {}
        self.channels = set()
        self.changed = asyncio.Event()
        self.epoch = time.monotonic()

    async def start(self, count=1):
        """Listens on one address for each gateway, so that channels can be told apart by their machine."""
        self.servers = []
        for index in range(count):
            server = await asyncio.start_server(
                lambda reader, writer, index=index: self.serve(reader, writer, index), "127.0.0.1", 0)
            self.servers.append(server)

    def address(self, index=0):
        return "127.0.0.1:%d" % self.servers[index].sockets[0].getsockname()[1]

    def now_ms(self):
        return int((time.monotonic() - self.epoch) * 1000) + 1000000

    def write(self, puts, removals):
        self.version += 1
        for name, value in puts:
            self.rows[name] = (value, self.version)
            self.history.append((self.version, name, value))
        for name in removals:
            if self.rows.pop(name, None) is not None:
                self.history.append((self.version, name, None))
        self.changed.set()
        self.changed = asyncio.Event()

    def set_json(self, table, key, value):
        """A write of the operator or of a replica; its return is the store's ack."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        is_heartbeat = (table, "", key) in self.rows and table == "servers"
        self.write([((table, "", key), text)], [])
        if not is_heartbeat:
            self.record.note("store: ack of %s/%s: %s" % (table, key, json.dumps(value)))

    def remove(self, table, key):
        self.write([], [(table, "", key)])
        self.record.note("store: ack of the removal of %s/%s" % (table, key))

    def silence(self, owner, only=None):
        """Open channels of a machine go silent for good, without a reset; new ones work."""
        count = 0
        for channel in self.channels:
            if channel.owner == owner and not channel.silent.is_set() and (only is None or only in channel.call):
                channel.silent.set()
                count += 1
        self.record.note("store: %d open channel(s) of gateway %d go silent%s" % (count, owner, " (%s)" % only if only else ""))
        return count

    def calls(self, owner):
        return [channel.call for channel in self.channels if channel.owner == owner and not channel.silent.is_set()]

    async def serve(self, reader, writer, owner):
        channel = Channel(writer)
        channel.owner = owner
        self.channels.add(channel)
        try:
            while True:
                message = await read_message(reader)
                if message is None or channel.silent.is_set():
                    break
                channel.call = message[0]
                answer = await self.answer(message)
                if channel.silent.is_set():
                    break
                channel.call = ""
                writer.write(answer)
                await writer.drain()
            if channel.silent.is_set():
                while await reader.read(65536):  # Reads and answers nothing until the peer closes.
                    pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(channel)
            writer.close()

    async def answer(self, message):
        method, target, _ = message[0].split(" ", 2)
        path, _, query_text = target.partition("?")
        query = {}
        for pair in query_text.split("&"):
            name, _, value = pair.partition("=")
            query[name] = bytes_of(value).decode()
        if path == "/-/rows-tx" and method == "POST":
            return await self.commit(json.loads(message[2]))
        if path == "/-/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return self.read(query)
        if path == "/-/rows-feed":
            return await self.feed(query)
        if path.startswith("/-/blob-"):
            await asyncio.sleep(0.025)
            return self.blob(method, path, message)
        return encode(404, {}, b"{}")

    def reply(self, status, value):
        value = dict(value, now_ms=self.now_ms())
        return encode(status, {"Content-Type": "application/json"}, json.dumps(value).encode())

    def row_json(self, name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    async def commit(self, change):
        await asyncio.sleep(TX_SECONDS)
        name = lambda entry: (entry["table"], entry["part"], entry["key"])
        conditions = change.get("precondition", [])
        puts = change.get("puts", [])
        removals = change.get("remove", [])
        if len({entry["part"] for entry in conditions + puts + removals}) > 1 or len(conditions + puts + removals) > 100:
            return self.reply(400, {})
        if any(entry["table"] in ("op", "servers") for entry in puts + removals):
            return self.reply(403, {})
        if any(self.rows.get(name(entry), (None, 0))[1] != entry["ver"] for entry in conditions):
            return self.reply(412, {"ver": self.version, "rows": [
                self.row_json(name(entry), *self.rows[name(entry)]) for entry in conditions if name(entry) in self.rows]})
        self.write([(name(entry), entry["value"]) for entry in puts], [name(entry) for entry in removals])
        return self.reply(200, {"ver": self.version})

    def read(self, query):
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(500, int(query.get("limit", "500")))
        names = sorted(name for name in self.rows
                       if name[0] == query["table"] and name[1] == query.get("part", "")
                       and name[2] >= first and (not last or name[2] < last))
        return self.reply(200, {"rows": [self.row_json(name, *self.rows[name]) for name in names[:limit]],
                                "has_more": len(names) > limit, "ver": self.version})

    async def feed(self, query):
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        await asyncio.sleep(READ_SECONDS)
        while True:
            after = int(query["after"])
            rows = [self.row_json(name, value, version) for version, name, value in self.history
                    if version > after and name[0] == query["table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.reply(200, {"rows": rows, "ver": self.version})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def blob(self, method, path, message):
        _, _, call, name = path.split("/", 3)
        if call == "blob-put":
            if name in self.blobs:
                return encode(412, {}, b"")
            self.blobs[name] = message[2]
            return encode(200, {}, b"")
        if call == "blob-get":
            return encode(200, {}, self.blobs[name]) if name in self.blobs else encode(404, {}, b"")
        self.blobs.pop(name, None)
        return encode(200, {}, b"")


def bytes_of(text):
    result = b""
    index = 0
    while index < len(text):
        if text[index] == "%":
            result += bytes([int(text[index + 1:index + 3], 16)])
            index += 3
        else:
            result += text[index].encode()
            index += 1
    return result


class Replica:
    """A replica of a service. Requests for tokens get a stream of events, others an answer with a length."""

    def __init__(self, record, store, name, service, slots=8, events=20, event_s=0.02, work_s=0.01, weights=1, first_s=0.0):
        self.first_s = first_s  # From the arrival of a request for tokens to its answer's head.
        self.busy = {}  # Channels on which a request runs, by its id.
        self.channels = set()
        self.record, self.store = record, store
        self.weights = weights
        self.leaving = False  # Whether all answers say that the replica leaves.
        self.name, self.service, self.slots = name, service, slots
        self.events, self.event_s, self.work_s = events, event_s, work_s
        self.running = 0
        self.waiting = 0
        self.runs = []  # Pairs of the time at which a request arrived to be run, and its id.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.seq = 0
        self.register()
        self.beats = asyncio.get_running_loop().create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    def leave(self):
        """Leaves without having said that it drains: its entry is removed, and it serves on."""
        self.beats.cancel()
        self.store.remove("servers", self.name)

    def register(self, state="ready"):
        self.seq += 1
        address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.store.set_json("servers", self.name, {
            "service": self.service, "address": address, "zone": "zone-a", "version": "v1", "slots": self.slots,
            "state": state, "cold_left_ms": 0, "seq": self.seq, "born": 1700000000000})

    def reset(self, request):
        """Resets the channel on which a request runs."""
        self.record.note("the channel of %s to replica %s is reset" % (request, self.name))
        connection = self.busy[request].get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.busy[request].transport.abort()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.handle(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def handle(self, message, writer):
        line, fields, _ = message
        request = fields.get("request-id", "")
        common = {"Request-Id": request, "Weight-Versions": str(self.weights)}
        if self.leaving:
            common["Server-Leaving"] = "1"
        if fields.get("expect-instance", self.name) != self.name:
            self.record.note("replica %s answers 421 to %s: other instance" % (self.name, request))
            writer.write(encode(421, dict(common, **{"Instance-Id": self.name}), b""))
            return
        if fields.get("expect-version", str(self.weights)) != str(self.weights):
            self.record.note("replica %s answers 421 to %s: other version of the weights" % (self.name, request))
            writer.write(encode(421, dict(common, **{"Instance-Id": self.name, "Not-Executed": "1"}), b""))
            return
        if self.waiting >= QUEUE:
            writer.write(encode(503, dict(common, **{"Not-Executed": "1"}), b""))
            return
        self.waiting += 1
        while self.running >= self.slots:
            await asyncio.sleep(0.005)
        self.waiting -= 1
        self.running += 1
        self.busy[request] = writer
        self.runs.append((self.record.now(), request))
        self.record.note("replica %s (service %s) runs %s: %s" % (self.name, self.service, request, line))
        try:
            if "token-count" in fields:
                await self.stream(fields, common, writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(encode(200, dict(common, **{"Response-Stamp": "stamp." + self.name}), b"answer of " + self.service.encode()))
        finally:
            self.running -= 1
            self.busy.pop(request, None)

    async def stream(self, fields, common, writer):
        await asyncio.sleep(self.first_s)
        if writer.is_closing():
            raise ConnectionError
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in dict(common, **{"Response-Stamp": "stamp." + self.name}).items():
            head += "%s: %s\r\n" % (name, value)
        writer.write((head + "\r\n").encode())
        for number in range(int(fields.get("last-event-id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                raise ConnectionError
            event = ("id: %d\ndata: event %d\n\n" % (number, number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def route(name, kind, service, **more):
    result = {"name": name, "host": "site.example", "path_prefix": "/%s/" % name, "kind": kind, "service": service,
              "timeout_ms": 5000, "target_latency_ms": 400, "priority": 0, "max_attempts": 3}
    if kind == "bulk":
        result.update({"timeout_ms": 15000, "completion_window_ms": 18000, "retention_s": 60})
    return dict(result, **more)


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": [{"name": name, "max_conns": 100} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


async def call(address, method, path, fields=None, body=b"", timeout=6.0):
    """A client's call on a new channel. Returns the status, or 0 without a complete answer, and the body."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = "%s %s HTTP/1.1\r\nHost: site.example\r\nContent-Length: %d\r\n" % (method, path, len(body))
            for name, value in (fields or {}).items():
                head += "%s: %s\r\n" % (name, value)
            writer.write((head + "\r\n").encode() + body)
            answer = await read_message(reader)
            return (0, b"") if answer is None else (int(answer[0].split(" ")[1]), answer[2])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""


def submission(job, items, path):
    return json.dumps({"items": [{
        "id": "%s%02d" % (job, number), "path": "%s%s" % (path, job),
        "headers": {"Model": "m", "Token-Count": "250,100", "Prompt-Prefix": "9c2e41:100,%s%02d:150" % (job, number)},
        "body": base64.b64encode(b"question %d" % number).decode(), "tokens": 350} for number in range(items)]}).encode()


class Gateway:
    """A process of the gateway, with settings as deploy/gateway.yaml.template renders them."""

    def __init__(self, record, folder, index, store_address, processor_share=0.5, log_level="info"):
        self.record, self.index = record, index
        settings = os.path.join(folder, "gateway-%d.yaml" % index)
        self.log = os.path.join(folder, "gateway-%d.log" % index)
        with open(settings, "w", encoding="utf-8") as file:
            file.write('vm: "front-zone-a-%d"\nfailure_domain: "zone-a"\n' % index)
            for name in ("caller_listen", "ready_listen", "peer_listen", "metrics_listen"):
                file.write('%s: "127.0.0.1:0"\n' % name)
            file.write('store: "%s"\nprocessor_share: %s\nshutdown_seconds: 8\nlog_level: %s\nlog_lines_per_second: 200\n'
                       % (store_address, processor_share, log_level))
        with open(self.log, "wb") as output:
            self.process = subprocess.Popen([GATEWAY, "--settings", settings], cwd=REPOSITORY, stdout=output,
                                            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.callers = ""

    def lines(self, event):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return [line for line in file if "event=%s " % event in line]

    async def started(self, timeout=10.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            lines = self.lines("started")
            if lines:
                values = dict(part.split("=", 1) for part in lines[0].split() if "=" in part)
                self.callers = values["caller_address"].strip('"')
                self.ready = values["ready_address"].strip('"')
                return
            await asyncio.sleep(0.02)
        raise Unable("gateway %d has not started" % self.index)

    async def is_ready(self, timeout=10.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if (await call(self.ready, "GET", "/-/ready"))[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise Unable("gateway %d has not become ready" % self.index)

    def signal(self, number):
        self.record.note("gateway %d gets %s" % (self.index, signal.Signals(number).name))
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def submit(record, gateway, job, items, prefix):
    """Submits a batch submission until it is accepted, as a client does."""
    for _ in range(5):
        status, _ = await call(gateway.callers, "POST", prefix + job, {"Request-Id": job, "Content-Type": "application/json"},
                               submission(job, items, prefix))
        record.note("client: batch submission %s to gateway %d: %d" % (job, gateway.index, status))
        if status == 202:
            return
        await asyncio.sleep(0.3)
    raise Unable("the batch submission was not accepted")


async def results(gateway, job, timeout=3.0):
    """All results of a batch submission, read from the start; None if it cannot be read."""
    record, found = gateway.record, []
    while True:
        status, body = await call(gateway.callers, "GET", "/-/lots/%s?after=%d" % (job, len(found)), timeout=timeout)
        if status != 200:
            record.note("client: results of %s from gateway %d: %d" % (job, gateway.index, status))
            return None
        page = json.loads(body)
        states = [result["state"] for result in page["results"]]
        record.note("client: results of %s from gateway %d: 200, total %d, from %d: %s"
                    % (job, gateway.index, page["total"], len(found), states))
        found += page["results"]
        if not page["results"] or len(found) == page["total"]:
            return found


def run(case, folder, disruption):
    """Runs a case, a coroutine that gets its record, a folder for files, the list of processes to end and whether to disturb."""
    record = Record(folder)
    gateways = []

    async def bounded(directory):
        try:
            return await asyncio.wait_for(case(record, directory, gateways, disruption), 115)
        finally:
            for gateway in gateways:
                gateway.end()
            await asyncio.sleep(0.2)  # The stand-ins see the ends of their connections.

    if not os.path.exists(GATEWAY):
        record.say("cannot run: target/banyan-gateway is missing")
        sys.exit(UNABLE)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(UNABLE))
    with tempfile.TemporaryDirectory() as directory:
        try:
            result = asyncio.run(bounded(directory))
        except (Unable, asyncio.TimeoutError, OSError) as error:
            record.say("cannot run: %r" % error)
            result = UNABLE
        finally:
            for gateway in gateways:
                gateway.end()
            keep = os.environ.get("KEEP_LOGS")  # A folder for the logs of the gateways.
            if keep:
                os.makedirs(keep, exist_ok=True)
                for gateway in gateways:
                    shutil.copy(gateway.log, keep)
    record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "the case could not run"))
    sys.exit(result)
