#!/usr/bin/python3
"""Real gateways on loopback under cuts and kills, with clients by Qpid Proton's Python library.

Three stand-ins of controllers and one of the state service (basaltchute-gateway-load serve), two
gateways behind relays that cut connections at random, one of them killed (-9) and started again now
and then. Each client sends until its message is accepted, some messages twice, and reads results.
At the end every message must be one job and every result must have come, to a receiver that keeps
ids exactly once. Needs python3-qpid-proton. Not part of CI: it takes as long as it is told.
"""
import argparse
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.request

from proton import Message
from proton.utils import BlockingConnection, LinkDetached, SendException

QUEUES = ["north/replay-verify", "north/split", "south/replay-verify"]


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Relay:
    """Passes bytes on to a gateway until it is told to cut."""

    def __init__(self, to):
        self.to, self.open, self.cuts = to, set(), 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(("127.0.0.1", self.to), 2)
            except OSError:
                near.close()
                continue
            self.open |= {near, far}
            for a, b in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(a, b), daemon=True).start()

    def copy(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for s in (source, sink):
            self.open.discard(s)
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        self.cuts += 1
        for s in list(self.open):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Client:
    """Sends to one queue and reads its results, wherever it is served."""

    def __init__(self, test, queue, number):
        self.test, self.queue, self.number = test, queue, number
        self.reply = f"reply/{queue}/c{number}"
        self.sent, self.twice, self.results, self.again = [], 0, {}, 0
        self.threads = [threading.Thread(target=f, daemon=True) for f in (self.send_all, self.read_all)]
        for t in self.threads:
            t.start()

    def link(self, make):
        """A link made by `make`, following redirections; waits while there is none."""
        port = random.choice(self.test.relays).port
        while not self.test.over:
            try:
                connection = BlockingConnection(f"amqp://127.0.0.1:{port}", timeout=3,
                                                allowed_mechs="ANONYMOUS")
                return connection, make(connection)
            except LinkDetached as e:
                condition = e.link.remote_condition
                info = {str(k): v for k, v in ((condition and condition.info) or {}).items()}
                port = int(info.get("port", random.choice(self.test.relays).port))
            except Exception:
                port = random.choice(self.test.relays).port
            time.sleep(0.05)
        return None, None

    def send_all(self):
        n, sender = 0, None
        while time.monotonic() < self.test.sending_until:
            marker = f"c{self.number}-{n}"
            message = Message(id=marker, reply_to=self.reply, body=json.dumps({"build": marker}).encode(),
                              inferred=True)
            copies = 2 if random.random() < 0.1 else 1
            while copies and not self.test.over:
                if sender is None:
                    _, sender = self.link(lambda c: c.create_sender("queue/" + self.queue))
                    continue
                try:
                    sender.send(message, timeout=3)
                    copies -= 1
                    self.twice += copies
                except SendException:
                    time.sleep(0.1)  # released: not now
                except Exception:
                    sender = None
            self.sent.append(marker)
            n += 1

    def read_all(self):
        receiver = None
        while not self.test.over:
            if receiver is None:
                _, receiver = self.link(lambda c: c.create_receiver(self.reply, credit=10))
                continue
            try:
                message = receiver.receive(timeout=1)
                receiver.accept()
                if message.id in self.results:
                    self.again += 1
                self.results[message.id] = message.correlation_id
            except Exception as e:
                if type(e).__name__ != "Timeout":
                    receiver = None


class Test:
    def __init__(self, args):
        self.args, self.over, self.kills = args, False, 0
        self.directory = tempfile.mkdtemp(prefix="basaltchute-real-")
        self.state, *self.jobs = [f"127.0.0.1:{free_port()}" for _ in range(4)]
        self.stand_ins = subprocess.Popen([args.build + "/basaltchute-gateway-load", "serve", "--state",
                                           self.state, "--jobs", *self.jobs], stdout=subprocess.DEVNULL)
        self.ports = [free_port(), free_port()]
        self.relays = [Relay(p) for p in self.ports]
        self.gateways = [None, None]
        time.sleep(0.5)
        for i in range(2):
            self.start(i)
        self.sending_until = time.monotonic() + args.seconds

    def start(self, i):
        path = f"{self.directory}/gw-{i}.json"
        settings = {
            "instance": f"gw-{i}", "listen": f"127.0.0.1:{self.ports[i]}",
            "advertise": f"127.0.0.1:{self.relays[i].port}", "admin": f"127.0.0.1:{free_port()}",
            "controllers": self.jobs, "anonymous": True, "grantSeconds": 3,
            "state": {"address": self.state, "requestsPerSecond": 200, "writesPerSecond": 50, "share": 1},
            "refs": {"from": 900000000, "to": 999999999},
            "queues": [dict(zip(("team", "class"), q.split("/"))) for q in QUEUES],
            "limits": {"pollSeconds": 1},
        }
        with open(path, "w") as out:
            json.dump(settings, out)
        self.gateways[i] = subprocess.Popen([self.args.build + "/basaltchute-gateway", "--config", path],
                                            env={**os.environ, "LOG_LEVEL": "error"})

    def run(self):
        clients = [Client(self, q, i) for i, q in enumerate(QUEUES * 2)]
        while time.monotonic() < self.sending_until:
            time.sleep(random.uniform(0.2, 1.5))
            if random.random() < 0.75:
                random.choice(self.relays).cut()
                continue
            i = random.randrange(2)
            self.gateways[i].send_signal(signal.SIGKILL)
            self.gateways[i].wait()
            self.kills += 1
            time.sleep(random.uniform(0, 2))
            self.start(i)
        calm = time.monotonic() + 90
        for c in clients:
            c.threads[0].join(max(0.1, calm - time.monotonic()))
        while time.monotonic() < calm and any(len(c.results) < len(c.sent) for c in clients):
            time.sleep(0.2)
        time.sleep(3)  # what would come twice has time to come
        self.over = True
        with urllib.request.urlopen(f"http://{self.jobs[0]}/jobs") as answer:
            jobs = json.load(answer)
        return self.check(clients, jobs)

    def check(self, clients, jobs):
        wrong = [f"{m} became {n} jobs" for m, n in jobs.items() if n != 1]
        for c in clients:
            wrong += [f"{m} became no job" for m in c.sent if m not in jobs]
            told = list(c.results.values())
            wrong += [f"{m} has {told.count(m)} results" for m in c.sent if told.count(m) != 1]
        total = sum(len(c.sent) for c in clients)
        print(f"{total} messages, {sum(c.twice for c in clients)} sent twice, "
              f"{sum(r.cuts for r in self.relays)} cuts, {self.kills} kills -9, {len(jobs)} jobs, "
              f"{sum(len(c.results) for c in clients)} results, "
              f"{sum(c.again for c in clients)} seen twice without deduplication")
        for w in wrong[:20]:
            print("WRONG:", w)
        return not wrong and total > 0

    def end(self):
        for p in [*self.gateways, self.stand_ins]:
            p.kill()
            p.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", default="target", help="directory with the programs")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    random.seed(args.seed)
    test = Test(args)
    try:
        good = test.run()
    finally:
        test.end()
    print("good" if good else "NOT good")
    raise SystemExit(0 if good else 1)


if __name__ == "__main__":
    main()
