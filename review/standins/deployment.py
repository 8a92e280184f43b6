"""Stand-ins for a small deployment of basaltchute on loopback addresses, and the real controllers beside them.

One process holds the state service, the cloud, the workers and the users. Each controller is a process of its own,
started with the `run` line of deploy/service.toml. Standard library only. PROTOCOL says what each side does; where
it is silent, the stand-ins behave like a sound server, client or platform. Everything that is sent, answered and run
is written to record.txt of the case.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def now():
    return time.monotonic()


class Record:
    """record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def t(self):
        return now() - self.start

    def __call__(self, who, text):
        self.file.write(f"{self.t():8.3f} {who}: {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """One HTTP message: (first line, headers, body), or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def response_bytes(status, body):
    text = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


class HttpServer:
    """Calls handler(method, target, body, connection) -> (status, body) or None for no answer at all."""

    def __init__(self, handler, gate=None):
        self.handler = handler
        self.gate = gate  # awaited with (reader, writer) before each request is handled; False: drop the connection
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        born = now()
        try:
            while True:
                first, _, body = await read_message(reader)
                if self.gate and not await self.gate(born):
                    break
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, body)
                if answer is None:
                    break
                writer.write(response_bytes(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class HttpClient:
    """One connection to one address. ask() returns (status, body, headers), or None without an answer."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    def request_bytes(self, method, target, body):
        text = b"" if body is None else json.dumps(body).encode()
        return (f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n").encode() + text

    async def ask(self, method, target, body=None, timeout=5.0):
        try:
            return await asyncio.wait_for(self._ask(method, target, body), timeout)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            self.close()
            return None

    async def _ask(self, method, target, body):
        await self.open()
        self.writer.write(self.request_bytes(method, target, body))
        await self.writer.drain()
        first, headers, text = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(text) if text else {}, headers

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Bucket:
    """A rate limit with a burst."""

    def __init__(self, rate, burst):
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now()

    def take(self, n=1):
        t = now()
        self.level = min(self.burst, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level < n:
            return False
        self.level -= n
        return True


# ---------------------------------------------------------------- state service

class StateService:
    """The store, with one address for each controller, so that one of them can be refused or cut off alone."""

    def __init__(self, record, params):
        self.record, self.params = record, params
        self.keys = {}  # key: (value, stamp, grant or None)
        self.epoch = 1
        self.log = []  # (epoch, change)
        self.grants = {}  # id: [life in seconds, end]
        self.next_grant = 1
        self.changed = asyncio.Condition()
        self.outage = False
        self.requests = Bucket(params["rps"], params["rps"])
        self.writes = Bucket(params["write_rps"], params["write_rps"])
        self.refused = set()  # nodes
        self.latency = 0.004
        self.addresses = {}
        self.odd_bodies = 0
        self.slow_answer = None  # function(node, transaction) -> seconds that its answer takes, after it was applied
        self.late_writes = None  # function(node, transaction) -> seconds to be late and unanswered, or None

    async def start(self, nodes):
        for node in nodes:
            server = HttpServer(lambda m, t, b, n=node: self.handle(n, m, t, b))
            self.addresses[node] = await server.listen()
        self.task = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            for grant, (_, end) in list(self.grants.items()):
                if now() > end:
                    await self.end_grant(grant)

    async def end_grant(self, grant):
        del self.grants[grant]
        gone = [k for k, v in self.keys.items() if v[2] == grant]
        if gone:
            self.epoch += 1
            for k in gone:
                del self.keys[k]
                self.log.append((self.epoch, {"delete": k, "stamp": self.epoch}))
            async with self.changed:
                self.changed.notify_all()

    def begin_outage(self):
        self.outage = True
        self.record("state service", "outage begins")

    def end_outage(self):
        for grant in self.grants.values():
            grant[1] = now() + grant[0]
        self.outage = False
        self.record("state service", "outage ends")

    async def handle(self, node, method, target, body):
        await asyncio.sleep(self.latency)
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if self.outage or node in self.refused:
            return 503, {"error": "unavailable"}
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        try:
            doc = json.loads(body.decode("utf-8")) if body else {}
        except ValueError:  # also where it is not UTF-8, which JSON between systems has to be (RFC 8259, 8.1)
            if self.odd_bodies < 20:
                self.record("state service", f"400, not JSON in UTF-8: {body[:800]!r}")
            self.odd_bodies += 1
            return 400, {"error": "not JSON"}
        if path == "/multi" and method == "POST":
            return await self.multi(node, doc, len(body))
        if path == "/grants" and method == "POST":
            grant = self.next_grant
            self.next_grant += 1
            life = doc["lifeMs"] / 1000
            self.grants[grant] = [life, now() + life]
            return 200, {"hold": grant}
        match = re.fullmatch(r"/grants/(\d+)(/touch)?", path)
        if match:
            grant = int(match.group(1))
            if grant not in self.grants:
                return 404, {"epoch": self.epoch}
            if match.group(2) and method == "POST":
                self.grants[grant][1] = now() + self.grants[grant][0]
                return 200, {"hold": grant}
            if method == "DELETE":
                await self.end_grant(grant)
                return 200, {}
        if path == "/keys":
            names = sorted(k for k in self.keys if k.startswith(args["under"]) and k > args.get("after", ""))
            page = min(int(args.get("page", 1000)), 1000)
            pairs = [{"key": k, "data": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:page]]
            return 200, {"pairs": pairs, "truncated": len(names) > page, "epoch": self.epoch}
        if path.startswith("/keys/"):
            key = path[len("/keys/"):]
            if key not in self.keys:
                return 404, {"epoch": self.epoch}
            value, stamp, grant = self.keys[key]
            return 200, {"key": key, "data": value, "stamp": stamp, "hold": grant}
        if path == "/watch":
            return await self.watch(args)
        return 400, {"error": "no such request"}

    async def watch(self, args):
        after, until = int(args["after"]), now() + int(args.get("waitMs", 0)) / 1000
        while True:
            log = [c for e, c in self.log if e > after and (c.get("put") or c.get("delete")).startswith(args["under"])]
            if not self.outage and (log or now() >= until):
                return 200, {"epoch": self.epoch, "log": log}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.05, until - now()) if not self.outage else 0.1)
            except asyncio.TimeoutError:
                pass

    async def multi(self, node, doc, size):
        late = self.late_writes(node, doc) if self.late_writes else None
        if late is not None:
            asyncio.get_running_loop().call_later(late, lambda: asyncio.ensure_future(self.apply(doc, size, "late ")))
            self.record("state service", f"transaction of {node} held back for {late:.1f} s")
            await asyncio.sleep(late)
            return None
        answer = await self.apply(doc, size)
        if self.slow_answer:
            await asyncio.sleep(self.slow_answer(node, doc))
        return answer

    async def apply(self, doc, size, how=""):
        changes = doc.get("then", [])
        if size > 64 * 1024 or len(changes) > self.params["txn_ops"] or \
                len(doc.get("guards", [])) > 4 * self.params["txn_ops"] or \
                any(len(json.dumps(c.get("data"))) > self.params["value_kb"] * 1024 for c in changes if "put" in c):
            return 400, {"error": "over the limits"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        if any(c.get("hold") is not None and c["hold"] not in self.grants for c in changes):
            return 400, {"error": "no such lease"}
        failed = [g["key"] for g in doc.get("guards", []) if self.keys.get(g["key"], (0, 0, 0))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
            for c in changes:
                if "put" in c:
                    self.keys[c["put"]] = (c["data"], self.epoch, c.get("hold"))
                    self.log.append((self.epoch, {"put": c["put"], "data": c["data"], "stamp": self.epoch}))
                    self.record("state service", f"{how}put {c['put']} {json.dumps(c['data'])[:600]}")
                else:
                    self.keys.pop(c["delete"], None)
                    self.log.append((self.epoch, {"delete": c["delete"], "stamp": self.epoch}))
            async with self.changed:
                self.changed.notify_all()
        return 200, {"epoch": self.epoch}


# ---------------------------------------------------------------- machines

class Network:
    """A machine's way to all others. While it is cut, what is sent is kept and delivered when the cut ends; a
    connection that is opened during the cut never comes about."""

    def __init__(self):
        self.cut_since = None
        self.healed = asyncio.Event()
        self.healed.set()
        self.held = []  # (writer, bytes)

    def cut(self):
        self.cut_since = now()
        self.healed.clear()

    def heal(self):
        self.cut_since = None
        self.healed.set()
        for writer, data in self.held:
            writer.write(data)
            asyncio.get_running_loop().call_later(2.0, writer.close)
        self.held = []

    async def gate(self, born):
        """For requests that come in: kept until the cut ends; none on a connection opened during the cut."""
        since = self.cut_since
        if since is None:
            return True
        await self.healed.wait()
        return born < since


class Worker:
    def __init__(self, site, name, rig, zone, spot=False, images=()):
        self.site, self.name, self.rig, self.zone, self.spot = site, name, rig, zone, spot
        self.record, self.params = site.record, site.params["workers"]
        self.capacity = site.rigs[rig]
        self.net = Network()
        self.stint, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # (split, attempt): dict
        self.images = set(images)
        self.lease_from = now()
        self.changed = asyncio.Event()
        self.gone = False
        self.sick = False  # fails every task that it starts

    async def start(self):
        self.server = HttpServer(self.handle, self.net.gate)
        self.address = await self.server.listen()
        self.jobs = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.lease_loop())]

    def stop(self):
        self.gone = True
        for key in list(self.tasks):
            self.end_task(key, "killed with its machine")
        self.tasks = {}
        for j in self.jobs:
            j.cancel()
        self.server.server.close()
        for w in list(self.server.writers):
            w.close()

    def report(self):
        self.tick += 1
        splits = []
        for (split, attempt), t in self.tasks.items():
            entry = {"split": split, "try": attempt, "status": t["status"]}
            if t["status"] == "exited":
                entry["cause"] = t["cause"]
            splits.append(entry)
        return {"host": self.name, "addr": self.address, "rigKind": self.rig, "hall": self.zone,
                "loaners": self.spot, "stint": self.stint, "tick": self.tick, "baton": self.baton,
                "recallS": None, "splits": splits}

    async def handle(self, method, target, body):
        if target == "/inspect":
            return 200, self.report()
        doc = json.loads(body)
        if "baton" not in doc or "stint" not in doc:
            return 400, {}
        if doc["baton"] < self.baton or doc["stint"] != self.stint:
            self.record(self.name, f"refused direct commands with token {doc['baton']}: {json.dumps(doc['orders'])}")
            return 409, self.report()
        self.take_token(doc["baton"])
        self.execute(doc["orders"], "direct")
        return 200, self.report()

    def take_token(self, baton):
        if baton > self.baton:
            self.baton = baton
            self.changed.set()

    def free(self, what):
        used = sum(self.site.specs[s.rsplit("/", 1)[0]][what] for (s, _), t in self.tasks.items()
                   if t["status"] != "exited")
        return self.capacity[what] - used

    def execute(self, orders, how):
        for o in orders:
            key = (o["split"], o["try"])
            self.record(self.name, f"{how} command {o['verb']} {key[0]} try {key[1]}")
            if o["verb"] == "launch":
                self.launch(key)
            elif o["verb"] == "stop":
                t = self.tasks.get(key)
                if t and t["status"] != "exited":
                    self.exit(key, "stopped")
            elif o["verb"] == "forget":
                if self.tasks.get(key, {}).get("status") == "exited":
                    del self.tasks[key]

    def launch(self, key):
        if key in self.tasks:
            return
        job, _, index = key[0].rpartition("/")
        spec = self.site.specs.get(job)
        self.tasks[key] = {"status": "exited", "cause": "no_such"}
        if spec is None or int(index) >= spec["splits"]:
            pass
        elif any(s == key[0] and a != key[1] and t["status"] != "exited" for (s, a), t in self.tasks.items()):
            self.tasks[key]["cause"] = "busy"
        elif any(self.free(w) < spec[w] for w in ("cores", "ramGb")):
            self.tasks[key]["cause"] = "full"
        else:
            self.tasks[key] = {"status": "pulling", "job": asyncio.create_task(self.run(key, spec))}
        self.changed.set()

    async def run(self, key, spec):
        if spec["build"] not in self.images:
            await asyncio.sleep(spec["sizeGb"] / self.capacity["fetchGbPerS"])
            self.images.add(spec["build"])
        if key[0] not in self.site.results:
            self.tasks[key]["status"] = "running"
            self.site.started(self, key)
            self.changed.set()
            if self.sick:
                await asyncio.sleep(0.3)
                self.exit(key, "error")
                return
            await asyncio.sleep(self.site.run_seconds(key, spec))
            if self.site.before_done:
                self.site.before_done(self, key)
            self.site.results.add(key[0])
        self.exit(key, "done")

    def exit(self, key, cause):
        t = self.tasks[key]
        if t.get("job") and cause not in ("done", "error"):
            t["job"].cancel()
        started = t["status"] == "running"
        t["status"], t["cause"] = "exited", cause
        if started:
            self.site.ended(self, key, cause)
        self.changed.set()

    def end_task(self, key, why):
        t = self.tasks[key]
        if t.get("job"):
            t["job"].cancel()
        if t["status"] == "running":
            self.site.ended(self, key, why)

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.02)
            if now() - self.lease_from <= self.params["lease_s"]:
                continue
            for key in list(self.tasks):
                self.end_task(key, "killed with the lease")
            self.tasks = {}
            self.stint += 1
            self.lease_from = now()
            self.record(self.name, f"lease over, session {self.stint}")
            self.changed.set()

    async def report_loop(self):
        nodes = self.site.node_names
        at = random.randrange(len(nodes))
        client = None
        while True:
            self.changed.clear()
            sent_at, stint = now(), self.stint
            report = self.report()
            if client is None:
                client = HttpClient(self.site.worker_addresses[nodes[at]])
            answer = await self.send_report(client, report)
            if answer is None or answer[0] not in (200, 421):
                client.close()
                client = None
                at = (at + 1) % len(nodes)
                await asyncio.sleep(1.0)
                continue
            status, doc, _ = answer
            if status == 421:
                client.close()
                client = None
                named = doc.get("steward")
                if named in nodes and named != nodes[at]:
                    at = nodes.index(named)
                    await asyncio.sleep(random.uniform(0, 0.5))
                else:
                    at = (at + 1) % len(nodes)
                    await asyncio.sleep(1.0)
                continue
            if stint == self.stint and doc.get("baton", 0) >= self.baton and "baton" in doc:
                self.take_token(doc["baton"])
                self.lease_from = max(self.lease_from, sent_at)
                self.execute(doc["orders"], "answered")
            pause = self.params["report_s"] * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), pause)
                await asyncio.sleep(max(0.0, sent_at + 0.5 - now()))
            except asyncio.TimeoutError:
                pass

    async def send_report(self, client, report):
        """One report; (status, body, headers), or None after 4 s. The cut is applied here."""
        try:
            if self.net.cut_since is not None and client.writer is None:
                await asyncio.sleep(4.0)
                return None
            await asyncio.wait_for(client.open(), 4.0)
            data = client.request_bytes("POST", "/agent/beat", report)
            if self.net.cut_since is not None:
                self.record(self.name, f"report {report['stint']}.{report['tick']} is held back by the network: "
                            f"{json.dumps(report['splits'])}")
                self.net.held.append((client.writer, data))
                client.reader = client.writer = None  # given up, not reused
                await asyncio.sleep(4.0)
                return None
            self.site.report_sent(self, report)
            client.writer.write(data)
            await client.writer.drain()
            first, headers, text = await asyncio.wait_for(read_message(client.reader), 4.0)
            if self.net.cut_since is not None:
                await asyncio.sleep(4.0)
                return None
            if headers.get("connection", "").lower() == "close":
                client.close()
            return int(first.split(" ")[1]), json.loads(text) if text else {}, headers
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            return None


class Cloud:
    """Rents machines. `stock`: (rig, zone, spot) -> how many more may be rented."""

    def __init__(self, site, stock):
        self.site, self.record, self.stock = site, site.record, stock
        self.machines = {}  # name: dict
        self.bookings = {}
        self.next = 1

    async def start(self):
        self.server = HttpServer(self.handle)
        self.address = await self.server.listen()

    async def add(self, rig, zone, spot=False, boot=None, images=()):
        name = f"n-{self.next:06d}"
        self.next += 1
        worker = Worker(self.site, name, rig, zone, spot, images)
        m = {"worker": worker, "born": now(), "gone": None, "up": False}
        self.machines[name] = m
        if boot is None:
            m["born"] -= 600
            await self.boot(m, 0)
        else:
            asyncio.create_task(self.boot(m, boot))
        return worker

    async def boot(self, m, delay):
        await asyncio.sleep(delay)
        if m["gone"] is None:
            await m["worker"].start()
            m["up"] = True
            self.record("cloud", f"{m['worker'].name} is up: {m['worker'].rig} in {m['worker'].zone}")

    async def handle(self, method, target, body):
        await asyncio.sleep(0.1)
        path, _, query = target.partition("?")
        if path == "/catalog":
            rigs = [{"sku": k, "cores": v["cores"], "gpus": 0.0, "ramGb": v["ramGb"], "localGb": v["localGb"],
                     "fetchGbPerS": v["fetchGbPerS"], "rate": v["rate"], "marketPrice": v["rate"] / 4,
                     "readyS": v["readyS"], "halls": self.site.params["zones"]} for k, v in self.site.rigs.items()]
            return 200, {"rigs": rigs}
        if path == "/hosts/delete":
            for name in json.loads(body)["hosts"]:
                m = self.machines.get(name)
                if m and m["gone"] is None:
                    m["gone"] = now()
                    self.record("cloud", f"deleted {name}")
                    if m["up"]:
                        m["worker"].stop()
            return 200, {}
        if path == "/hosts" and method == "POST":
            doc = json.loads(body)
            if doc["booking"] in self.bookings:
                return 200, {"hosts": self.bookings[doc["booking"]]}
            pool = (doc["rigKind"], doc["hall"], doc["loaners"])
            n = min(doc["howMany"], self.stock.get(pool, 0), 50)
            if n == 0:
                return 503, {"error": "no capacity"}
            self.stock[pool] -= n
            names = []
            for _ in range(n):
                w = await self.add(*pool, boot=self.site.rigs[pool[0]]["readyS"] * random.uniform(0.6, 1.5))
                names.append(w.name)
            self.bookings[doc["booking"]] = names
            self.record("cloud", f"rented {names}: {pool}")
            return 200, {"hosts": names}
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        lag = self.site.params["cloud"]["list_lag_s"]
        t = now() - lag
        hosts = []
        for name, m in sorted(self.machines.items()):
            if name > args.get("after", "") and m["born"] <= t and (m["gone"] is None or m["gone"] > t):
                w = m["worker"]
                hosts.append({"ref": name, "addr": w.address if m["up"] else "", "rigKind": w.rig, "hall": w.zone,
                              "loaners": w.spot, "status": "running" if m["up"] else "starting",
                              "ageS": t - m["born"]})
        page = min(int(args.get("page", 500)), 500)
        return 200, {"hosts": hosts[:page], "truncated": len(hosts) > page}


# ---------------------------------------------------------------- controllers, users and the whole site

def free_port():
    """A free port below those that the system gives to outgoing connections: it stays free while nobody listens."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Controller:
    def __init__(self, site, name, area):
        self.site, self.name, self.area = site, name, area
        self.listen, self.mesh = free_port(), free_port()
        self.process = None

    def write_settings(self):
        s = self.site
        doc = {"node_name": self.name, "area": self.area, "client_listen": f"127.0.0.1:{self.listen}",
               "mesh_addr": f"127.0.0.1:{self.mesh}",
               "seeds": [{"node_name": c.name, "area": c.area, "address": s.mesh_address(self, c)}
                         for c in s.controllers if c is not self],
               "endpoints": {"cloud": s.cloud.address, "state": s.state.addresses[self.name]},
               "params": s.params}
        self.path = os.path.join(s.folder, self.name + ".json")
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(doc, f)

    def start(self):
        self.log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.site.run_line + [self.path], cwd=REPO, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log,
                                        env=dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info")))
        self.site.record(self.name, f"started, listens on 127.0.0.1:{self.listen}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self.site.record(self.name, "killed")

    def pause(self):
        self.process.send_signal(signal.SIGSTOP)
        self.site.record(self.name, "stands still")

    def resume(self):
        self.process.send_signal(signal.SIGCONT)
        self.site.record(self.name, "goes on")


class Site:
    def __init__(self, folder, params, rigs, areas, stock=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.params, self.rigs = params, rigs
        self.folder = tempfile.mkdtemp(prefix="basaltchute-review-")
        with open(os.path.join(REPO, "deploy", "service.toml"), encoding="utf-8") as f:
            self.run_line = re.search(r'^run = "(.*)"$', f.read(), re.M).group(1).split()
        self.specs, self.results = {}, set()
        self.on_machine = {}  # split: [(worker, attempt, since)]
        self.starts, self.history = [], []
        self.controllers = [Controller(self, f"rig-{i}", a) for i, a in enumerate(areas)]
        self.node_names = [c.name for c in self.controllers]
        self.worker_addresses = {c.name: f"127.0.0.1:{c.listen}" for c in self.controllers}
        self.state = StateService(self.record, params["state"])
        self.cloud = Cloud(self, stock or {})
        self.run_time = {}
        self.before_done = None
        self.broken = []
        self.mesh_proxy = {}
        self.processes = []  # of others, to be ended with the site

    def mesh_address(self, source, target):
        return self.mesh_proxy.get((source.name, target.name), f"127.0.0.1:{target.mesh}")

    def report_sent(self, worker, report):
        pass

    def run_seconds(self, key, spec):
        return self.run_time.get(key[0].rsplit("/", 1)[0], spec["parS"] or 1e6)

    def started(self, worker, key):
        others = [w.name for w, _, _ in self.on_machine.get(key[0], [])]
        self.on_machine.setdefault(key[0], []).append((worker, key[1], now()))
        self.starts.append((self.record.t(), worker.name, key))
        self.record(worker.name, f"STARTED {key[0]} try {key[1]}" + (f" WHILE ON {others}" if others else ""))
        if others:
            self.broken.append(f"ran_twice: {key[0]} try {key[1]} starts on {worker.name} while on {others}")

    def ended(self, worker, key, how):
        self.on_machine[key[0]] = [x for x in self.on_machine[key[0]] if not (x[0] is worker and x[1] == key[1])]
        self.record(worker.name, f"ENDED {key[0]} try {key[1]}: {how}")

    async def start(self):
        await self.state.start(self.node_names)
        await self.cloud.start()

    def start_controllers(self):
        for c in self.controllers:
            c.write_settings()
            c.start()

    def job(self, ref, **fields):
        spec = {"ref": ref, "category": "tower-sweep", "crew": "field-ops", "shape": "array", "rank": "high",
                "splits": 1, "cores": 4.0, "gpus": 0.0, "ramGb": 4.8, "build": "img-01", "sizeGb": 0.6,
                "rigs": None, "hall": None, "together": False, "spread": False, "loaners": False, "parS": 40.0,
                "savepointS": 0.0, "flushS": 0.0, "cutoffS": None}
        spec.update(fields)
        self.specs[ref] = spec
        return spec

    async def ask(self, node, method, target, body=None, timeout=5.0, who="user"):
        """One request of a user to one controller."""
        sent = self.record.t()
        client = HttpClient(self.worker_addresses[node])
        answer = await client.ask(method, target, body, timeout)
        client.close()
        self.record(who, f"{method} {target} at {node} (sent {sent:.3f}): " +
                    ("no answer" if answer is None else f"{answer[0]} {json.dumps(answer[1])}"))
        return answer

    async def submit(self, spec, node=None, for_s=60.0):
        """Submits as users do: again after 1 s or Retry-After, for up to 60 s. True once accepted."""
        until, i = now() + for_s, 0
        while now() < until:
            name = node or self.node_names[i % len(self.node_names)]
            i += 1
            answer = await self.ask(name, "POST", "/v1/jobs", spec)
            if answer and answer[0] in (200, 201):
                return True
            if answer and answer[0] in (400, 422):
                return False
            pause = min(30.0, float((answer[2] if answer else {}).get("retry-after", 1)))
            await asyncio.sleep(max(1.0, pause))
        return False

    async def leader(self):
        """The controller that says it leads, for choosing where the trouble strikes."""
        for c in self.controllers:
            if c.process is None or c.process.poll() is not None:
                continue
            client = HttpClient(self.worker_addresses[c.name])
            answer = await client.ask("GET", "/status", timeout=1.0)
            client.close()
            if answer and answer[0] == 200 and answer[1].get("leading"):
                return c
        return None

    async def wait_for_leader(self, seconds=20.0):
        until = now() + seconds
        while now() < until:
            found = await self.leader()
            if found:
                return found
            await asyncio.sleep(0.1)
        return None

    def stop(self):
        for c in self.controllers:
            c.kill()
        for p in self.processes:
            if p.returncode is None:
                try:
                    p.kill()
                except ProcessLookupError:
                    pass
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def main(scenario, folder):
    """Runs `await scenario(folder, trouble, sites)` -> rules that were broken. Exits with 1, 0 or 2, within 120 s."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sites = []
    random.seed(os.environ.get("SEED") or None)

    def finish(code, lines):
        """Ends all that was started, and this process at once: nothing is left to wait for."""
        for site in sites:
            site.stop()
        for line in lines:
            print(line)
            if sites:
                sites[0].record("verdict", line)
        sys.stdout.flush()
        os._exit(code)

    async def run():
        try:
            broken = await asyncio.wait_for(scenario(folder, trouble, sites), 118)
        except (Exception, asyncio.CancelledError) as e:  # whatever it is, the case could not run
            finish(2, [f"could not run: {type(e).__name__} {e}"])
        finish(1 if broken else 0, ["rule broken: " + line for line in broken] or ["the rule held"])

    for s in (signal.SIGTERM, signal.SIGINT):
        signal.signal(s, lambda *_: finish(2, ["could not run: ended by a signal"]))
    asyncio.run(run())
