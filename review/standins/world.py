"""Stand-ins for one small deployment, and the means to start the project's controllers against them.

Everything runs on loopback addresses and the real clock: the state service, the cloud, the workers and the
users follow PROTOCOL; `Proxy` forwards TCP connections and can hold, refuse or reset them; `Controllers`
starts, stops (SIGSTOP), continues and kills the project's own processes. Every event goes to the record.
"""
import asyncio
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """The record of a run: one line an event, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------------------

NO_ANSWER = object()


class HttpServer:
    """A small HTTP/1.1 server. `handler(method, path, query, body)` returns (status, object)."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self.port}"
        return self

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, headers, body = request
                method, target, _ = line.split(" ", 2)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                answer = await self.handler(method, unquote(parts.path), query, body)
                if answer is NO_ANSWER:
                    break
                status, value = answer
                writer.write(encode_answer(status, value))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # the client is gone, or the run ends
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


def encode_answer(status, value):
    body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
    return (f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpClient:
    """A keep-alive connection to one endpoint; one request at a time."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.host, self.port = host, int(port)
        self.streams = None

    async def request(self, method, target, value=None, timeout=5.0, raw=None):
        """Returns (status, object, headers); (0, None, {}) without an answer."""
        try:
            return await asyncio.wait_for(self._request(method, target, value, raw), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None, {}

    async def _request(self, method, target, value, raw):
        body = raw if raw is not None else (b"" if value is None else json.dumps(value, separators=(",", ":")).encode())
        message = (f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
                   f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body
        for attempt in (0, 1):
            fresh = self.streams is None
            if fresh:
                self.streams = await asyncio.open_connection(self.host, self.port)
            reader, writer = self.streams
            try:
                writer.write(message)
                await writer.drain()
                answer = await read_message(reader)
                if answer is None:
                    raise ConnectionError("closed")
                break
            except (ConnectionError, asyncio.IncompleteReadError):
                self.close()
                if fresh or attempt:  # an idle connection may have been closed by the server
                    raise
        line, headers, data = answer
        if headers.get("connection", "").lower() == "close":
            self.close()
        status = int(line.split(" ")[1])
        try:
            parsed = json.loads(data) if data else None
        except ValueError:
            parsed = None
        return status, parsed, headers

    def close(self):
        if self.streams:
            self.streams[1].transport.abort()
            self.streams = None


class Proxy:
    """Forwards TCP connections to one target. Modes: `pass`; `hold`: bytes are kept and delivered in order
    when the mode returns to `pass`, and new connections get nothing; `refuse`: connections are reset."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.mode = "pass"
        self.hold_answers = False  # hold only the bytes towards the client
        self.open = asyncio.Event()
        self.open.set()
        self.pairs = set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, backlog=256)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def set_mode(self, mode, hold_answers=False):
        self.mode, self.hold_answers = mode, hold_answers
        if mode == "pass":
            self.open.set()
        else:
            self.open.clear()
        if mode == "refuse":
            for writer in list(self.pairs):
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            if self.mode == "hold" and not self.hold_answers:
                await self.open.wait()
        except asyncio.CancelledError:
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, up_writer}
        try:
            await asyncio.gather(self.pump(reader, up_writer, False), self.pump(up_reader, writer, True))
        except asyncio.CancelledError:
            pass
        self.pairs -= {writer, up_writer}

    async def pump(self, reader, writer, is_answer):
        try:
            while True:
                data = await reader.read(65536)
                if self.mode == "hold" and (is_answer or not self.hold_answers):
                    await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Rate:
    """The limit of a service: a bucket of `burst_s` seconds' worth."""

    def __init__(self, per_s, burst_s=1.0):
        self.per_s, self.size = per_s, per_s * burst_s
        self.tokens, self.at = self.size, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.tokens = min(self.size, self.tokens + (now - self.at) * self.per_s)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


# --- state service ------------------------------------------------------------------------------------------


class Store:
    """The state service of PROTOCOL, "Controller nodes -> state service"."""

    def __init__(self, record, rps=200.0, write_rps=20.0, value_kb=8.0, txn_ops=12):
        self.record = record
        self.rows, self.log, self.leases = {}, [], {}
        self.revision, self.next_lease = 0, 1
        self.rate, self.write_rate = Rate(rps), Rate(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, int(txn_ops)
        self.changed = asyncio.Event()
        self.outage = False

    async def start(self):
        self.server = await HttpServer(self.handle).start()
        self.address = self.server.address
        asyncio.create_task(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for lease in [i for i, (end, _) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def set_outage(self, outage):
        if self.outage and not outage:  # every lease has its full time again
            now = time.monotonic()
            self.leases = {i: (now + ttl, ttl) for i, (_, ttl) in self.leases.items()}
        self.outage = outage
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, row in self.rows.items() if row[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.rows[key]
                self.log.append((self.revision, {"Drop": key, "Stamp": self.revision}))
            self.wake()

    async def handle(self, method, path, query, body):
        if self.outage and not path.startswith("/follow"):
            return 503, {"error": "unavailable"}
        if not self.rate.take():
            return 429, {"error": "too many requests"}
        if path == "/commit":
            return self.commit(json.loads(body))
        if path == "/leases":
            ttl = json.loads(body)["TtlMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"Permit": lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {}
        if path == "/follow":
            return await self.follow(query)
        if path == "/store":
            return self.list(query)
        key = path[len("/store/"):]
        if key not in self.rows:
            return 404, {"Epoch": self.revision}
        value, stamp, lease = self.rows[key]
        return 200, {"Key": key, "Value": value, "Stamp": stamp, "Permit": lease}

    def list(self, query):
        prefix, since = query.get("Under", ""), query.get("Since", "")
        limit = min(int(query.get("Page", 1000)), 1000)
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > since)
        rows, size = [], 0
        for key in keys[:limit]:
            row = {"Key": key, "Value": self.rows[key][0], "Stamp": self.rows[key][1]}
            size += len(json.dumps(row))
            if size > 500 * 1024:
                break
            rows.append(row)
        return 200, {"Rows": rows, "Truncated": len(rows) < len(keys), "Epoch": self.revision}

    def commit(self, transaction):
        changes = transaction.get("Apply", [])
        if changes and not self.write_rate.take(len(changes)):
            return 429, {"error": "too many changes"}
        if len(changes) > self.txn_ops or len(transaction.get("When", [])) > 4 * self.txn_ops:
            return 400, {"error": "too many changes in one transaction"}
        for change in changes:
            if "Value" in change and len(json.dumps(change["Value"], separators=(",", ":"))) > self.value_bytes:
                return 400, {"error": "value too large"}
            if change.get("Permit") is not None and change["Permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["Key"] for c in transaction.get("When", [])
                  if (self.rows[c["Key"]][1] if c["Key"] in self.rows else 0) != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Epoch": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "Write" in change:
                    self.rows[change["Write"]] = (change["Value"], self.revision, change.get("Permit"))
                    event = {"Write": change["Write"], "Value": change["Value"], "Stamp": self.revision}
                    if change["Write"].endswith("/leader"):
                        self.record.add(f"store: leader record {json.dumps(change['Value'])}")
                elif self.rows.pop(change["Drop"], None) is not None:
                    event = {"Drop": change["Drop"], "Stamp": self.revision}
                else:
                    continue
                self.log.append((self.revision, event))
            self.log = self.log[-10000:]
            self.wake()
        return 200, {"Epoch": self.revision}

    async def follow(self, query):
        prefix, since = query.get("Under", ""), int(query.get("Since", 0))
        end = time.monotonic() + min(int(query.get("BlockMs", 0)), 60000) / 1000
        while True:
            if not self.outage:
                if self.log and len(self.log) >= 10000 and since < self.log[0][0] - 1:
                    return 410, {"error": "too old"}
                events = [e for r, e in self.log if r > since and (e.get("Write") or e["Drop"]).startswith(prefix)]
                if events or time.monotonic() >= end:
                    return 200, {"Epoch": self.revision, "Events": events}
            elif time.monotonic() >= end and query.get("BlockMs", "0") == "0":
                return 503, {"error": "unavailable"}
            changed = self.changed
            wait = max(0.001, end - time.monotonic()) if not self.outage else 3600
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except asyncio.TimeoutError:
                pass


# --- jobs, cloud and workers --------------------------------------------------------------------------------


class World:
    """The jobs that users submitted, the cloud's machines and their workers."""

    def __init__(self, record, workers, types, capacity, boot_s, list_lag_s=8.0, cloud_rps=6.0):
        self.record, self.workers, self.types = record, workers, types
        self.capacity, self.boot_s, self.list_lag_s = dict(capacity), boot_s, list_lag_s
        self.rate = Rate(cloud_rps, 2.0)
        self.jobs = {}       # id -> {"spec":..., "run_s":...}
        self.machines = {}   # name -> Machine
        self.hires = {}      # request name -> names of machines
        self.count = 0
        self.done_tasks = set()  # (job, index): results that are kept
        self.controllers = []    # front addresses by controller, as the workers know them
        self.names = []

    async def start(self):
        self.server = await HttpServer(self.handle).start()
        self.address = self.server.address
        return self

    async def handle(self, method, path, query, body):
        if not self.rate.take():
            return 429, {"error": "too many requests"}
        if path == "/flavors":
            return 200, {"Breeds": self.types}
        if path == "/machines" and method == "POST":
            return self.hire(json.loads(body))
        if path == "/machines/release":
            for name in json.loads(body)["Hosts"]:
                machine = self.machines.get(name)
                if machine and not machine.gone_at:
                    self.record.add(f"cloud: {name} released")
                    machine.end()
            return 200, {}
        now, lag = time.monotonic(), self.list_lag_s
        listed = [m for n, m in sorted(self.machines.items())
                  if n > query.get("Since", "") and m.hired_at + lag <= now and (not m.gone_at or m.gone_at + lag > now)]
        page = int(query.get("Page", 500))
        return 200, {"Hosts": [m.listed(now - lag) for m in listed[:page]], "Truncated": len(listed) > page}

    def hire(self, request):
        if request["Hire"] in self.hires:
            return 200, {"Hosts": self.hires[request["Hire"]]}
        pool = (request["Breed"], request["Yard"], request["Loaners"])
        used = sum(1 for m in self.machines.values() if m.pool == pool and not m.gone_at)
        count = min(request["Count"], self.capacity.get(pool, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            self.count += 1
            name = f"m-{self.count:06d}"
            self.machines[name] = Machine(self, name, pool)
            names.append(name)
        self.hires[request["Hire"]] = names
        self.record.add(f"cloud: {request['Hire']} rents {names} {pool}")
        return 200, {"Hosts": names}

    def tasks_on(self, job):
        """Returns (machine, task) for every task of the job that is on a machine."""
        return [(m.name, t) for m in self.machines.values() if not m.gone_at
                for t in m.tasks.values() if t.job == job and t.on_machine()]


class Task:
    def __init__(self, job, index, attempt):
        self.job, self.index, self.attempt = job, index, attempt
        self.state, self.cause, self.saved = "fetching", None, False
        self.timer = None

    def key(self):
        return (self.job, self.index)

    def on_machine(self):
        return self.state in ("waiting", "running", "saving")

    def report(self):
        out = {"Piece": f"{self.job}/{self.index}", "Try": self.attempt, "Status": self.state}
        if self.cause:
            out["Cause"] = self.cause
            if self.saved:
                out["Saved"] = True
        return out


class Machine:
    """A rented machine and its worker (PROTOCOL, "Workers -> controller nodes")."""

    def __init__(self, world, name, pool):
        self.world, self.name, self.pool = world, name, pool
        self.hired_at, self.gone_at, self.up = time.monotonic(), None, False
        self.stint, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # (job, index, attempt) -> Task
        self.images = set()
        self.sick = False       # fails every task that it starts
        self.muted = False      # its requests reach nobody
        self.deaf = False       # answers and direct commands to it are lost
        self.changed = asyncio.Event()
        self.address = "127.0.0.1:1"
        self.hung = False
        self.runner = asyncio.create_task(self.run())

    def listed(self, at):
        status = "running" if self.up else "booting"
        return {"NameId": self.name, "Address": self.address, "Breed": self.pool[0], "Yard": self.pool[1],
                "Loaners": self.pool[2], "Status": status, "HeldS": max(0.0, at - self.hired_at)}

    def note(self, text):
        self.world.record.add(f"worker {self.name}: {text}")

    def end(self):
        self.gone_at = time.monotonic()
        self.kill_all("machine gone")
        self.runner.cancel()
        if self.up:
            self.server.stop()

    def kill_all(self, why):
        for task in self.tasks.values():
            if task.timer:
                task.timer.cancel()
            if task.state != "ended":
                self.note(f"{task.job}/{task.index} try {task.attempt} killed: {why}")
        self.tasks = {}

    def free(self):
        types = {t["Name"]: t for t in self.world.types}
        kind = types[self.pool[0]]
        free = [kind["Vcpus"], kind["Accelerators"], kind["MemGb"]]
        for task in self.tasks.values():
            if task.state != "ended":
                spec = self.world.jobs[task.job]["spec"]
                free = [free[0] - spec["Vcpus"], free[1] - spec["Accelerators"], free[2] - spec["MemGb"]]
        return free

    async def run(self):
        await asyncio.sleep(self.world.boot_s)
        self.server = await HttpServer(self.handle).start()
        self.address = self.server.address
        self.up = True
        self.lease_from = time.monotonic()
        self.note("up")
        asyncio.create_task(self.watch_lease())
        await self.report_loop()

    async def watch_lease(self):
        while not self.gone_at:
            await asyncio.sleep(0.02)
            if not self.hung and time.monotonic() - self.lease_from > self.world.workers["lease_s"]:
                self.note(f"lease expired, session {self.stint} ends")
                self.kill_all("lease expired")
                self.stint += 1
                self.tick = 0
                self.lease_from = time.monotonic()
                self.changed.set()

    def report(self):
        self.tick += 1
        return {"Host": self.name, "Address": self.address, "Breed": self.pool[0], "Yard": self.pool[1],
                "Loaners": self.pool[2], "Stint": self.stint, "Tick": self.tick, "Baton": self.baton,
                "WarningS": None, "Pieces": [t.report() for t in self.tasks.values()]}

    async def report_loop(self):
        period = self.world.workers["report_s"]
        index = random.randrange(len(self.world.controllers))
        client = HttpClient(self.world.controllers[index])
        last = 0.0
        while True:
            while self.hung:
                await asyncio.sleep(0.05)
            wait = max(0.0, last + 0.5 - time.monotonic())
            await asyncio.sleep(wait)
            self.changed.clear()
            sent, stint = time.monotonic(), self.stint
            last = sent
            report = self.report()
            if self.muted:
                await asyncio.sleep(4.0)
                status, answer = 0, None
            else:
                status, answer, _ = await client.request("POST", "/checkin", report, timeout=4.0)
                if self.deaf:
                    await asyncio.sleep(max(0.0, sent + 4.0 - time.monotonic()))
                    client.close()
                    status, answer = 0, None
            if status == 200 and stint == self.stint and not self.hung:
                baton = answer.get("Baton")
                if baton is not None and baton >= self.baton:
                    if baton > self.baton:
                        self.changed.set()
                    self.baton = baton
                    self.lease_from = max(self.lease_from, sent)
                    self.execute(answer.get("Orders", []))
                delay = period * random.uniform(0.75, 1.25)
            elif status == 421 and answer and answer.get("Foreman") in self.world.names and \
                    self.world.names.index(answer["Foreman"]) != index:
                client.close()
                index = self.world.names.index(answer["Foreman"])
                client = HttpClient(self.world.controllers[index])
                last = 0.0
                continue
            elif status == 200:
                delay = period * random.uniform(0.75, 1.25)
            else:
                client.close()
                index = (index + 1) % len(self.world.controllers)
                client = HttpClient(self.world.controllers[index])
                await asyncio.sleep(1.0)
                last = 0.0
                continue
            try:
                await asyncio.wait_for(self.changed.wait(), delay)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, body):
        while self.hung:
            await asyncio.sleep(0.05)
        if self.deaf:
            return NO_ANSWER
        if path == "/inspect":
            return 200, self.report()
        request = json.loads(body)
        if "Baton" not in request or "Stint" not in request:
            return 400, {}
        if request["Baton"] < self.baton or request["Stint"] != self.stint:
            return 409, self.report()
        if request["Baton"] > self.baton:
            self.baton = request["Baton"]
        self.execute(request.get("Orders", []))
        return 200, self.report()

    # Commands, in order.
    def execute(self, orders):
        for order in orders:
            job, index = order["Piece"].split("/")
            key = (job, int(index), order["Try"])
            if order["Verb"] == "start":
                self.start_task(key)
            elif order["Verb"] == "stop":
                self.stop_task(key, order.get("LeewayS", 0))
            elif order["Verb"] == "reap" and key in self.tasks and self.tasks[key].state == "ended":
                del self.tasks[key]

    def start_task(self, key):
        if key in self.tasks:
            return
        task = Task(*key)
        self.note(f"start {task.job}/{task.index} try {task.attempt}")
        known = self.world.jobs.get(task.job)
        if not known:
            self.tasks[key] = task
            return self.exit(task, "unknown")
        if any(t.key() == task.key() and t.state != "ended" for t in self.tasks.values()):
            self.tasks[key] = task
            return self.exit(task, "busy")
        spec, free = known["spec"], self.free()
        self.tasks[key] = task
        if any(n > f + 1e-6 for n, f in zip((spec["Vcpus"], spec["Accelerators"], spec["MemGb"]), free)):
            return self.exit(task, "full")
        fetch = 0.0 if spec["Bundle"] in self.images else known.get("fetch_s", 0.5)
        task.timer = asyncio.create_task(self.run_task(task, fetch, known))
        self.changed.set()

    async def run_task(self, task, fetch, known):
        await asyncio.sleep(fetch)
        self.images.add(known["spec"]["Bundle"])
        if task.key() in self.world.done_tasks:
            return self.exit(task, "done")
        task.state = "running"  # a gang of one task starts at once
        others = [m for m, t in self.world.tasks_on(task.job) if t.index == task.index and t is not task]
        self.note(f"{task.job}/{task.index} try {task.attempt} is on the machine"
                  + (f", and also on {others}" if others else ""))
        self.changed.set()
        if self.sick:
            await asyncio.sleep(0.3)
            return self.exit(task, "error")
        await asyncio.sleep(known["run_s"])
        while self.hung:
            await asyncio.sleep(0.05)
        self.world.done_tasks.add(task.key())
        self.exit(task, "done")

    def stop_task(self, key, leeway):
        task = self.tasks.get(key)
        if not task or task.state == "ended":
            return
        spec = self.world.jobs[task.job]["spec"]
        saves = task.state == "running" and spec["NotchS"] > 0 and leeway >= spec["StashS"]
        if task.state == "saving" and leeway > 0:
            return
        if task.timer:
            task.timer.cancel()
        if saves:
            task.state = "saving"
            task.timer = asyncio.create_task(self.save(task, spec["StashS"]))
            self.changed.set()
        else:
            self.exit(task, "stopped")

    async def save(self, task, duration):
        await asyncio.sleep(duration)
        task.saved = True
        self.exit(task, "stopped")

    def exit(self, task, cause):
        task.state, task.cause = "ended", cause
        self.note(f"{task.job}/{task.index} try {task.attempt} ended: {cause}")
        self.changed.set()


# --- controllers --------------------------------------------------------------------------------------------


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


SMALL = {  # the settings of kit/sites/tahtiarkisto-kajaani.toml, as the DEPLOY page shows them
    "zones": ["kajaani-halli", "sodankyla-kellari"],
    "node_zones": ["kajaani-halli", "sodankyla-kellari", "kajaani-halli"],
    "workers": {"report_s": 3.0, "lease_s": 38.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 58.0},
    "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 6.0, "list_lag_s": 8.0},
    "limits": {"cpu_share": 0.16, "memory_mb": 200.0, "max_sockets": 4000},
    "teams": [{"name": f"levyryhma-{i:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
              for i in range(16)],
    "objectives": [
        {"kind": "wait", "class": "platefit", "within_s": 40.0, "share": 0.8},
        {"kind": "finished", "class": "platefit", "within_s": 150.0, "share": 0.8},
        {"kind": "deadline", "class": "frameclean", "share": 0.95, "times": 1.0},
        {"kind": "deadline", "class": "frameclean", "share": 0.97, "times": 1.5}],
}

TYPES = [
    {"Name": "revontuli", "Vcpus": 24.0, "Accelerators": 2.0, "MemGb": 96.0, "CacheGb": 150.0, "PullGbPerS": 0.4,
     "Hourly": 7.29, "MarketPrice": 1.7, "StartupS": 60.0, "Yards": ["kajaani-halli", "sodankyla-kellari"]},
    {"Name": "kaamos", "Vcpus": 48.0, "Accelerators": 4.0, "MemGb": 384.0, "CacheGb": 150.0, "PullGbPerS": 0.4,
     "Hourly": 15.26, "MarketPrice": 3.34, "StartupS": 50.0, "Yards": ["kajaani-halli", "sodankyla-kellari"]}]


def end_with_parent():
    """The kernel kills the process when the run that started it ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def toml_value(value):
    return json.dumps(value) if not isinstance(value, list) else "[" + ", ".join(map(json.dumps, value)) + "]"


def toml_lines(table):
    return [f"{key} = {toml_value(value)}" for key, value in table.items()]


class Controllers:
    """The project's controllers, as the deploy file starts them. Each reaches the state service, the cloud
    and each peer through a proxy of its own."""

    def __init__(self, record, site, store, cloud, count=3):
        self.record, self.site, self.store, self.cloud, self.count = record, site, store, cloud, count
        self.names = [f"stump-{i}" for i in range(count)]
        self.folder = tempfile.mkdtemp(prefix="pineroad-review-")
        # A loopback address of their own: no outgoing connection takes one of its ports.
        host = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}.{random.randint(1, 254)}"
        self.fronts = [f"{host}:{free_port(host)}" for _ in range(count)]
        self.meshes = [f"{host}:{free_port(host)}" for _ in range(count)]
        self.processes = [None] * count
        self.store_proxies, self.cloud_proxies, self.peer_proxies, self.worker_proxies = [], [], {}, []

    async def prepare(self):
        for i in range(self.count):
            self.store_proxies.append(await Proxy(self.store).start())
            self.cloud_proxies.append(await Proxy(self.cloud).start())
            self.worker_proxies.append(await Proxy(self.fronts[i]).start())
            for j in range(self.count):
                if i != j:
                    self.peer_proxies[i, j] = await Proxy(self.meshes[j]).start()
        for i in range(self.count):
            with open(self.settings_path(i), "w", encoding="utf-8") as file:
                file.write(self.settings(i))

    def settings_path(self, i):
        return os.path.join(self.folder, f"{self.names[i]}.toml")

    def settings(self, i):
        site = self.site
        lines = [f'host_name = "{self.names[i]}"', f'site = "{site["node_zones"][i]}"', f'front = "{self.fronts[i]}"',
                 f'mesh_addr = "{self.meshes[i]}"']
        for j in range(self.count):
            if i != j:
                lines += ["[[peers]]", f'host_name = "{self.names[j]}"', f'site = "{site["node_zones"][j]}"',
                          f'endpoint = "{self.peer_proxies[i, j].address}"']
        lines += ["[external]", f'cloud = "{self.cloud_proxies[i].address}"',
                  f'state = "{self.store_proxies[i].address}"', "[params]", f"nodes = {self.count}",
                  f"zones = {toml_value(site['zones'])}", "time_bound_ms = 5.0"]
        for team in site["teams"]:
            lines += ["[[params.teams]]"] + toml_lines(team)
        for objective in site["objectives"]:
            lines += ["[[params.objectives]]"] + toml_lines(objective)
        for part in ("workers", "state", "cloud", "limits"):
            lines += [f"[params.{part}]"] + toml_lines(site[part])
        return "\n".join(lines) + "\n"

    async def start(self, i):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        log = open(os.path.join(self.folder, f"{self.names[i]}.log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[i] = await asyncio.create_subprocess_exec(
            *command, self.settings_path(i), cwd=ROOT, env=env, stderr=log, stdout=log, stdin=asyncio.subprocess.DEVNULL,
            preexec_fn=end_with_parent)
        log.close()
        self.record.add(f"{self.names[i]} started, process {self.processes[i].pid}")

    def signal(self, i, number):
        self.record.add(f"{self.names[i]} gets {signal.Signals(number).name}")
        self.processes[i].send_signal(number)

    def alive(self, i):
        return self.processes[i] is not None and self.processes[i].returncode is None

    async def kill(self, i):
        if self.alive(i):
            self.signal(i, signal.SIGKILL)
            await self.processes[i].wait()

    async def stop(self):
        for i in range(self.count):
            if self.alive(i):
                self.processes[i].kill()
                await self.processes[i].wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, i):
        with open(os.path.join(self.folder, f"{self.names[i]}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def wait_until_up(self, timeout=30.0, nodes=None):
        end = time.monotonic() + timeout
        for i in nodes if nodes is not None else range(self.count):
            while True:
                status, _, _ = await HttpClient(self.fronts[i]).request("GET", "/up", timeout=1.0)
                if status == 200:
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.2)
        return True


class Users:
    """Users who reach the controllers one request at a time, through any healthy one."""

    def __init__(self, record, world, fronts):
        self.record, self.world, self.fronts = record, world, fronts

    async def ask(self, i, method, target, value=None, timeout=5.0, raw=None):
        client = HttpClient(self.fronts[i])
        status, answer, headers = await client.request(method, target, value, timeout, raw)
        client.close()
        self.record.add(f"user -> {i}: {method} {target} -> {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, spec, run_s, i=None, fetch_s=0.5, tries=20):
        """Submits until the job is accepted or refused; returns the status."""
        self.world.jobs[spec["NameId"]] = {"spec": spec, "run_s": run_s, "fetch_s": fetch_s}
        for attempt in range(tries):
            node = i if i is not None else attempt % len(self.fronts)
            status, _ = await self.ask(node, "POST", "/submissions", spec)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return 0

    async def poll(self, job, i=0):
        return await self.ask(i, "GET", f"/submissions/{job}", timeout=2.0)

    async def cancel(self, job, i=None, tries=20):
        for attempt in range(tries):
            node = i if i is not None else attempt % len(self.fronts)
            status, answer = await self.ask(node, "POST", f"/submissions/{job}/cancel")
            if status == 200:
                return answer["Status"]
            await asyncio.sleep(1.0)
        return None


def job(name, **fields):
    """A submission with the protocol's fields."""
    spec = {"NameId": name, "Jobclass": "frameclean", "Crew": "levyryhma-00", "Shape": "batch",
            "Urgency": "best_effort", "Pieces": 1, "Vcpus": 10.0, "Accelerators": 1.0, "MemGb": 72.0,
            "Bundle": "img-07", "SizeGb": 7.0, "Breeds": None, "Yard": None, "Together": False, "Spread": False,
            "Loaners": False, "GuessS": 30.0, "NotchS": 10.0, "StashS": 4.0, "DueS": None}
    spec.update(fields)
    return spec


def run_case(case, seconds=116):
    """Runs `case(record, trouble)`, which returns True if the rule held. Exits 0, 1 or 2 (could not run)."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if trouble else 'no'}")

    def finish(status, text):
        # Ends at once: the tasks of the stand-ins are not waited for, since one of them may miss its
        # cancellation and go on. The kernel ends any controller that is left (end_with_parent).
        record.add(text)
        print(text, flush=True)
        os._exit(status)

    deadline = threading.Timer(seconds + 3, finish, (2, "could not run: the script reached its time limit"))
    deadline.daemon = True
    deadline.start()

    async def main():
        try:
            held = await asyncio.wait_for(case(record, trouble), seconds)
        except Exception as error:  # pylint: disable=broad-except
            finish(2, f"could not run: {type(error).__name__}: {error}")
        finish(0 if held else 1, "the rule held" if held else "the rule was broken")

    asyncio.run(main())
