"""Gateways as processes, with stand-ins of the store, the replicas, the operator and the clients in this one."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http11
from replica import Replica
from store import Store

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "host.example"
GRACE_S = 8
IDS = 0


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def new_id():
    global IDS
    IDS += 1
    return "%016x" % (0x5A17000000000000 + IDS)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def bulk_route(name, service="s", window_ms=18000, retention_s=60):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": "/%s/" % name,
        "kind": "bulk",
        "service": service,
        "timeout_ms": 15000,
        "target_latency_ms": 400,
        "gap_target_ms": 400,
        "completion_window_ms": window_ms,
        "retention_s": retention_s,
        "max_attempts": 3,
        "priority": 2,
        "resumable": True,
        "sticky": True,
    }


def safe_route(name, service="s"):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": "/%s/" % name,
        "kind": "safe",
        "service": service,
        "timeout_ms": 1500,
        "target_latency_ms": 150,
        "max_attempts": 2,
        "priority": 2,
    }


class Gateway:
    def __init__(self, fleet, number, store_port, processor_share):
        self.fleet, self.number, self.store_port, self.processor_share = fleet, number, store_port, processor_share
        self.process = None
        self.starts = 0
        self.callers, self.ready, self.peer, self.metrics = free_ports(4)

    def start(self):
        self.starts += 1
        path = os.path.join(self.fleet.folder, "gateway-%d.yaml" % self.number)
        with open(path, "w") as file:
            # As deploy/gateway.yaml.template is filled in for a small deployment.
            file.write(
                'vm: "front-%d"\nfailure_domain: "z"\ncaller_listen: "127.0.0.1:%d"\nready_listen: "127.0.0.1:%d"\n'
                'peer_listen: "127.0.0.1:%d"\nmetrics_listen: "127.0.0.1:%d"\nstore: "127.0.0.1:%d"\nmemory_megabytes: %d\n'
                "maximum_descriptors: 8200\nprocessor_share: %s\nshutdown_seconds: %d\nlimit_window_seconds:\nlimit_overage: 0.1\n"
                "limit_slack:\nlog_level: info\nlog_lines_per_second: 200\n"
                % (self.number, self.callers, self.ready, self.peer, self.metrics, self.store_port, self.fleet.memory_mb, self.processor_share, GRACE_S)
            )
        log = open(os.path.join(self.fleet.folder, "gateway-%d-%d.log" % (self.number, self.starts)), "w")
        self.process = subprocess.Popen(["target/banyan-gateway", "--settings", path], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def resident_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def wait_until_ready(self, within=15.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            answer = await http11.call(self.ready, "GET", "/-/ready", timeout=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("gateway %d did not become ready" % self.number)


class Fleet:
    def __init__(self, folder, record, memory_mb=130):
        self.folder, self.record, self.memory_mb = folder, record, memory_mb
        self.begun = time.monotonic()
        self.store = Store()
        self.gateways = []
        self.replicas = []
        self.version = 0

    def log(self, text):
        self.record.write("%8.3f %s\n" % (time.monotonic() - self.begun, text))
        self.record.flush()

    def configure(self, routes):
        """The operator writes a new desired state; the store's answer is its ack."""
        self.version += 7
        services = sorted({route["service"] for route in routes})
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": [{"name": name, "max_conns": 400} for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            },
        )
        self.log("desired state %d acknowledged: routes %s" % (self.version, " ".join(route["name"] for route in routes)))
        return time.monotonic()

    async def add_replicas(self, count, **options):
        for _ in range(count):
            replica = Replica(self.store, self.log, "i-%d" % len(self.replicas), **options)
            self.replicas.append(replica)
            await replica.start()

    async def add_gateways(self, count, processor_share=0.5):
        first = len(self.gateways)
        for number in range(first, first + count):
            gateway = Gateway(self, number, await self.store.listen(number), processor_share)
            self.gateways.append(gateway)
            gateway.start()
            await asyncio.sleep(0.01)
        for gateway in self.gateways[first:]:
            await gateway.wait_until_ready(30.0)
        await asyncio.sleep(2.5)  # All have read each other's registrations.

    async def submit(self, gateway, route, bodies, submission=None, items=None):
        submission = submission or new_id()
        items = items or [new_id() for _ in bodies]
        text = json.dumps(
            {
                "items": [
                    {
                        "id": item,
                        "path": "/%s/%s" % (route, item),
                        "headers": {"Model": "m", "Token-Count": "250,200", "Prompt-Prefix": "%s:250" % item},
                        "body": base64.b64encode(body).decode(),
                        "tokens": 450,
                    }
                    for item, body in zip(items, bodies)
                ]
            }
        )
        fields = [("Host", HOST), ("Request-Id", submission), ("Content-Type", "application/json")]
        answer = await http11.call(gateway.callers, "POST", "/%s/%s" % (route, submission), fields, text.encode(), timeout=10.0)
        self.log("submission %s of %d items to gateway %d on %s: %d" % (submission, len(items), gateway.number, route, answer.status))
        return submission, items, answer.status

    async def results(self, gateway, submission):
        """All results of a batch submission, by position; None if it could not be read."""
        results = []
        while True:
            answer = await http11.call(gateway.callers, "GET", "/-/lots/%s?after=%d" % (submission, len(results)), [("Host", HOST)], timeout=3.0)
            if answer.status != 200 or not answer.whole:
                return None, answer.status
            page = json.loads(answer.body)
            results += page["results"]
            if not page["results"] or len(results) >= page["total"]:
                return results, 200

    def end(self):
        for gateway in self.gateways:
            gateway.kill()


def play(case, memory_mb=130, limit_s=110):
    """Runs a case and exits with its verdict. The case returns True if the rule held, and False if it was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def run():
        with tempfile.TemporaryDirectory() as temporary, open(os.path.join(folder, "record.txt"), "w") as record:
            fleet = Fleet(temporary, record, memory_mb)
            fleet.log("disruption: %s" % ("yes" if trouble() else "no"))
            try:
                held = await asyncio.wait_for(case(fleet), limit_s)
                fleet.log("the rule held" if held else "THE RULE WAS BROKEN")
                return 0 if held else 1
            except (CannotRun, asyncio.TimeoutError, OSError) as error:
                fleet.log("the case could not run: %r" % (error,))
                return 2
            finally:
                fleet.end()
                kept = os.environ.get("KEEP_LOGS")
                if kept:
                    subprocess.call(["cp", "-r", temporary, kept])

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
