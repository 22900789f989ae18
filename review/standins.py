"""Stand-ins for the platform: its configuration and control feed, model servers and a front's FastCGI client.

All of them listen on and connect to loopback addresses only. They are single-threaded asyncio code, written from
PROTOCOL.md, DEPLOY.md and WIRE (the names of the settings)."""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def now_ms():
    """Milliseconds of the system's Unix clock."""
    return time.time() * 1000.0


class Record:
    """The list of what was sent, answered and run; one line an event, with the Unix time in milliseconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text, at=None):
        self.file.write("%.1f %s\n" % (now_ms() if at is None else at, text))

    def close(self):
        self.file.flush()
        self.file.close()


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


# ---- configuration


def brest_settings(balancers=3, me=0):
    """The settings of brest-archive, with figures inside the ranges of its site file."""
    return {
        "az": 0,
        "azs": ["brest"],
        "balancers": balancers,
        "blend": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "classes": [
            {"aim-us": 2000000, "deadline-us": 5000000, "effect": "repeatable", "key-scope": "all",
             "late-value": 0.1, "name": "re-pick", "repeat-window-us": 5000000, "stream": False, "worth": 1.0},
            {"aim-us": 1500000, "deadline-us": 5000000, "effect": "once", "key-scope": "all",
             "late-value": 0.3, "name": "publish", "repeat-window-us": 5000000, "stream": False, "worth": 5.0},
        ],
        "client-habits": {"marks-retry": False},
        "family": "warm",
        "family-info": {
            "idle-life-us": 10000000, "idle-memory-cost": 0.05, "if-cold": "miss", "load-span-us": 0,
            "load-wait-us": 10000000, "loads-anyway": 0.0, "loads-per-request": 0.0, "placement-calls": True,
            "ram-mb-by-kind": [60000.0, 45000.0], "report-x0": "share of memory that is at work or loading",
            "report-x1": "loads under way or waiting", "tells-crowd": False, "warm-notes": True},
        "kinds": ["four-core", "three-core"],
        "layer": 0,
        "limits": {
            "cancel": True, "connect-timeout-us": 250000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 50000,
            "keepalive-us": 30000000, "max-open": 20000, "max-retry-after-us": 1000000, "may-duplicate": False,
            "peers": False, "probes": False, "retry-after": True, "streams-per-conn": 32, "try-limit": 5},
        "me": me,
        "membership-mode": "automatic",
        "obligations": {
            "answer-slack-us": 8000, "ask-every-us": 10000000, "cold-from": 0.3, "cold-us": 10000000,
            "fall-multiple": 2.5, "stop-sending-within-us": 250000, "tip-after-us": 2000000},
        "over-share-worth": 1.0,
        "prices": {
            "connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.024, "membership-mode": 0.0,
            "moves": 0.0, "origin": 0.052, "peer": 0.0, "probe": 0.01, "waste": 0.08},
        "stats": {"fields": ["q", "rif", "x0", "x1"], "via": "answers"},
        "tenants": [],
        "tick-us": 2000,
        "tiers": ["workers"],
        "value-by": "request",
        "weight-kind": "nominal",
    }


def configuration(name, listen, feed, known, settings, memory_mb=192, sockets=1024):
    return {
        "name": name, "listen": listen, "seed": "%016x" % random.getrandbits(63),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "feed": feed, "known": known, "settings": settings,
    }


def member(server, phase="in_service", up_since_ms=0):
    return {"id": server.id, "host_port": server.address, "locality": server.zone, "flavor": server.kind,
            "cell": server.cell, "phase": phase, "size": server.size, "up_since_ms": up_since_ms}


def write_file(path, text):
    """Replaces a file as a whole."""
    with open(path + ".new", "w", encoding="utf-8") as out:
        out.write(text)
    os.replace(path + ".new", path)


# ---- the router's process


class Router:
    """One router, started with the command of the deploy file."""

    def __init__(self, folder, name, listen, config_text, log):
        self.folder, self.name, self.listen = folder, name, listen
        self.config = os.path.join(folder, name + ".json")
        self.log = log
        self.process = None
        write_file(self.config, config_text)

    async def start(self):
        env = dict(os.environ, RELAY_CONFIG=self.config, RELAY_NAME=self.name, RELAY_LISTEN=self.listen,
                   TMPDIR=self.folder)
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", "exec target/release/sanddrum-edge --platform",
            cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    @property
    def pid(self):
        return self.process.pid

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """The resident memory, as the kernel tells it, in MB (2^20 bytes)."""
        try:
            with open("/proc/%d/status" % self.pid) as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def wait_ready(client, within_s=30.0):
    """Asks for /health until it is answered with status 200."""
    until = time.time() + within_s
    while time.time() < until:
        answer = await client.health()
        if answer == 200:
            return True
        await asyncio.sleep(0.1)
    return False


# ---- the control feed


class Feed:
    """The events, served at one or more addresses. An address that was closed accepts nothing new, tells nothing
    further, and closes its open connections after 1.5 s (DAYS)."""

    def __init__(self, first_members):
        self.events = []
        self.told_at = {}
        self.changed = asyncio.Event()
        self.servers = {}
        self.add(first_members, complete=True)
        self.polls = []

    def add(self, members, complete=False):
        number = len(self.events) + 1
        self.events.append({"n": number, "members": {
            "revision": number, "complete": complete, "members": members}})
        for entry in members:
            if entry["phase"] != "in_service":
                self.told_at.setdefault(entry["id"], now_ms())
        self.changed.set()
        self.changed = asyncio.Event()
        return number

    def known(self, up_to=None):
        events = self.events if up_to is None else self.events[:up_to]
        return {"n": len(events), "events": list(events)}

    async def open(self, host="127.0.0.1", port=0):
        state = {"open": True, "writers": set()}

        async def serve(reader, writer):
            state["writers"].add(writer)
            try:
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    path = head.split(b" ", 2)[1].decode()
                    query = dict(pair.split("=") for pair in path.split("?", 1)[1].split("&"))
                    have, wait = int(query["SUB"]), min(int(query["wait"]), 5000)
                    self.polls.append((now_ms(), state["address"], have, wait))
                    until = time.time() + wait / 1000.0
                    while state["open"] and len(self.events) <= have and time.time() < until:
                        try:
                            await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.time()))
                        except asyncio.TimeoutError:
                            pass
                    if not state["open"]:
                        await asyncio.sleep(60)
                    body = json.dumps({"n": len(self.events), "events": self.events[have:]},
                                      separators=(",", ":")).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % len(body) + body)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                state["writers"].discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, host, port)
        port = server.sockets[0].getsockname()[1]
        state["address"] = "%s:%d" % (host, port)
        state["server"] = server
        self.servers[state["address"]] = state
        return state["address"]

    def down(self, address):
        """The feed's process is gone: its connections are reset and new ones refused."""
        state = self.servers[address]
        state["open"] = False
        state["server"].close()
        for writer in list(state["writers"]):
            writer.transport.abort()

    async def up(self, address):
        host, port = address.rsplit(":", 1)
        await self.open(host, int(port))

    async def retire(self, address, after_s=1.5):
        state = self.servers[address]
        state["open"] = False
        state["server"].close()
        await asyncio.sleep(after_s)
        for writer in list(state["writers"]):
            writer.transport.abort()


# ---- model servers

OK, MISS, FULL, ERROR, OVER = 97, 99, 100, 101, 102


def frame(mark, code, ident, fields=b"", body=b""):
    content = fields + body
    return (struct.pack(">BBHIQ", mark, code, len(fields), len(body), ident) + content
            + struct.pack(">I", zlib.crc32(content)))


class Job:
    """One attempt that has come whole to a model server."""

    def __init__(self, server, connection, ident, fields, body, first_byte):
        self.server, self.connection, self.id, self.fields, self.body = server, connection, ident, fields, body
        self.first_byte, self.arrived = first_byte, now_ms()
        self.cancelled = False


class Server:
    """A model server with copies of functions, each with lanes. A draining one answers new work with 'full'."""

    def __init__(self, ident, platform, zone="brest", kind="four-core", cell=0, size=4, work_ms=120, load_ms=300,
                 lanes=4):
        self.id, self.platform = ident, platform
        self.zone, self.kind, self.cell, self.size = zone, kind, cell, size
        self.work_ms, self.load_ms, self.lanes = work_ms, load_ms, lanes
        self.address = None
        self.server = None
        self.writers = set()
        self.copies = {}
        self.loading = {}
        self.running = {}
        self.queues = {}
        self.draining = False
        self.held = 0

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % (host, self.server.sockets[0].getsockname()[1])

    def die(self):
        """The process ends: its listener is gone and its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        jobs = {}
        try:
            while True:
                first = await reader.readexactly(1)
                first_byte = now_ms()
                head = first + await reader.readexactly(15)
                mark, code, fields_length, body_length, ident = struct.unpack(">BBHIQ", head)
                content = await reader.readexactly(fields_length + body_length)
                check = await reader.readexactly(4)
                if mark != 76 or struct.unpack(">I", check)[0] != zlib.crc32(content):
                    break
                text = content[:fields_length].decode()
                fields = dict(pair.split("=", 1) for pair in text.split(",") if pair)
                await self.command(writer, jobs, code, ident, fields, content[fields_length:], first_byte)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for job in jobs.values():
                job.cancelled = True
            self.writers.discard(writer)
            writer.close()

    async def command(self, writer, jobs, code, ident, fields, body, first_byte):
        if code == 65:
            job = Job(self, writer, ident, fields, body, first_byte)
            jobs[ident] = job
            self.platform.job_arrived(job)
            await self.on_job(job, jobs)
        elif code == 66:
            job = jobs.get(ident)
            self.platform.cancel_arrived(self, ident)
            if job is not None:
                job.cancelled = True
        elif code == 67:
            self.send(writer, 103, ident)
        elif code == 69:
            count = int(fields["copies"])
            self.platform.order_arrived(self, fields["thing"], count, first_byte)
            asyncio.ensure_future(self.on_order(writer, ident, fields["thing"], count))
        elif code == 71:
            thing = "%016x" % ident
            if not self.running.get(thing):
                self.copies.pop(thing, None)

    def send(self, writer, code, ident, fields=b"", body=b""):
        if not writer.is_closing():
            writer.write(frame(108, code, ident, fields, body))

    def report(self):
        queued = sum(len(queue) for queue in self.queues.values())
        return "report=inflight:%d;queue:%d;x0:0.2;x1:%d" % (self.held, queued, len(self.loading))

    async def on_order(self, writer, ident, thing, count):
        stands = self.copies.get(thing, 0)
        if count > stands and self.draining:
            return self.send(writer, FULL, ident, b"copies=%d" % stands)
        if count > stands:
            if thing not in self.loading:
                self.loading[thing] = asyncio.ensure_future(self.load(thing, count))
            await asyncio.shield(self.loading[thing])
        self.send(writer, OK, ident, b"copies=%d" % self.copies.get(thing, 0))

    async def load(self, thing, count):
        await asyncio.sleep(self.load_ms / 1000.0)
        self.copies[thing] = max(count, self.copies.get(thing, 0))
        self.loading.pop(thing, None)

    async def on_job(self, job, jobs):
        thing = job.fields["thing"]
        if self.draining:
            return self.end(job, jobs, FULL, "")
        if self.copies.get(thing, 0) == 0 and thing not in self.loading:
            return self.end(job, jobs, MISS, "")
        asyncio.ensure_future(self.run(job, jobs, thing))

    async def run(self, job, jobs, thing):
        self.held += 1
        remark = "hot"
        if thing in self.loading:
            remark = "waited"
            await asyncio.shield(self.loading[thing])
        self.running[thing] = self.running.get(thing, 0) + 1
        self.platform.job_ran(job)
        await asyncio.sleep(self.work_ms / 1000.0)
        self.running[thing] -= 1
        self.held -= 1
        self.end(job, jobs, OK, remark, self.platform.result(job))

    def end(self, job, jobs, code, remark, body=b""):
        jobs.pop(job.id, None)
        self.platform.job_ended(job, code)
        if job.cancelled:
            return
        fields = self.report() if not remark else "remark=%s,%s" % (remark, self.report())
        self.send(job.connection, code, job.id, fields.encode(), body)


class Platform:
    """What the platform sees; a case overrides what it needs."""

    def __init__(self, record):
        self.record = record
        self.jobs = []
        self.orders = []

    def job_arrived(self, job):
        self.jobs.append(job)
        self.record.line("server %s: job %016x arrived whole" % (job.server.id, job.id), job.arrived)

    def job_ran(self, job):
        self.record.line("server %s: job %016x runs" % (job.server.id, job.id))

    def job_ended(self, job, code):
        self.record.line("server %s: job %016x ended with code %d" % (job.server.id, job.id, code))

    def cancel_arrived(self, server, ident):
        self.record.line("server %s: job %016x given up by the router" % (server.id, ident))

    def order_arrived(self, server, thing, count, first_byte):
        self.orders.append((first_byte, server, thing, count))
        if count > 0:
            self.record.line("server %s: order to load %s, copies=%d" % (server.id, thing, count), first_byte)

    def result(self, job):
        return b"result of %016x: " % job.id + job.body


# ---- a front's client


def fcgi_record(kind, ident, content=b""):
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), 0, 0) + content


def fcgi_params(pairs):
    out = b""
    for name, value in pairs:
        for text in (name, value):
            out += struct.pack(">B", len(text)) if len(text) < 128 else struct.pack(">I", len(text) | 1 << 31)
        out += name.encode() + value.encode()
    return out


def fcgi_request(ident, pairs, body=b""):
    params = fcgi_params(pairs)
    out = fcgi_record(1, ident, struct.pack(">HB5x", 1, 1))
    out += fcgi_record(4, ident, params) + fcgi_record(4, ident)
    if body:
        out += fcgi_record(5, ident, body)
    return out + fcgi_record(5, ident)


class Answer:
    def __init__(self):
        self.status = None
        self.protocol = None
        self.text = b""
        self.at = None
        self.lost = None
        self.count = 0

    def kind(self):
        if self.lost:
            return "lost"
        if self.status == 200:
            return "served"
        if self.status in (429, 503) or self.protocol == 2:
            return "refused"
        return "failed"


class Connection:
    """One connection of the front; up to 32 requests are open on it."""

    def __init__(self):
        self.open = {}
        self.next_id = 1
        self.closed = False
        self.last_used = time.time()

    async def connect(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())

    async def read(self):
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, ident, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = await self.reader.readexactly(length + padding)
                content = content[:length]
                entry = self.open.get(ident)
                if entry is None:
                    continue
                answer, done = entry
                if kind == 6:
                    answer.text += content
                elif kind == 3:
                    answer.protocol = content[4]
                    if answer.text.startswith(b"Status: "):
                        answer.status = int(answer.text.split(b"\r\n", 1)[0].split()[1])
                    answer.at = now_ms()
                    del self.open[ident]
                    if not done.done():
                        done.set_result(answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        self.closed = True
        for answer, done in list(self.open.values()):
            answer.lost = "connection ended"
            answer.at = now_ms()
            if not done.done():
                done.set_result(answer)
        self.open.clear()

    def send(self, pairs, body=b""):
        while self.next_id in self.open:
            self.next_id = self.next_id % 65535 + 1
        ident = self.next_id
        self.next_id = self.next_id % 65535 + 1
        answer, done = Answer(), asyncio.get_event_loop().create_future()
        self.open[ident] = (answer, done)
        self.writer.write(fcgi_request(ident, pairs, body))
        self.last_used = time.time()
        return done

    def close(self):
        self.closed = True
        self.task.cancel()
        self.writer.close()


class Client:
    """The front's side to one router: it keeps connections, closes one after 4 s idle, and opens new ones as needed."""

    def __init__(self, address, record, per_connection=8):
        self.address, self.record = address, record
        self.per_connection = per_connection
        self.connections = []
        self.random = random.Random(7)

    async def connection(self):
        for conn in list(self.connections):
            if conn.closed or (not conn.open and time.time() - conn.last_used > 4.0):
                if not conn.closed:
                    conn.close()
                self.connections.remove(conn)
        for conn in self.connections:
            if not conn.closed and len(conn.open) < self.per_connection:
                return conn
        conn = Connection()
        await conn.connect(self.address)
        self.connections.append(conn)
        return conn

    async def health(self):
        conn = Connection()
        try:
            await conn.connect(self.address)
            answer = await asyncio.wait_for(conn.send([("SCRIPT_NAME", "/health")]), 5.0)
            conn.close()
            return answer.status
        except (OSError, asyncio.TimeoutError):
            return None

    async def request(self, workload, function, patience_ms, body=b"payload", info="memory_mb:512;lanes:4;load_ms:300",
                      extra=()):
        """Sends one request and returns its id and answer; an answer that never comes has `lost` set."""
        call = "%016x" % self.random.getrandbits(64)
        pairs = [("SCRIPT_NAME", "/rpc/" + workload), ("REQUEST_METHOD", "POST"), ("HTTP_X_CALL_ID", call),
                 ("HTTP_X_PATIENCE_MS", str(patience_ms)), ("HTTP_X_ENTITY", function), ("HTTP_X_INFO", info)]
        pairs.extend(extra)
        sent = now_ms()
        try:
            conn = await self.connection()
            done = conn.send(pairs, body)
        except OSError:
            answer = Answer()
            answer.lost = "no connection"
            answer.at = now_ms()
            return call, sent, answer
        self.record.line("client: request %s of %s for %s, %d ms" % (call, workload, function, patience_ms), sent)
        try:
            answer = await asyncio.wait_for(asyncio.shield(done), patience_ms / 1000.0 + 0.55)
        except asyncio.TimeoutError:
            answer = Answer()
            answer.lost = "no answer half a second after its time"
            answer.at = now_ms()
        self.record.line("client: request %s %s, status %s%s" % (
            call, answer.kind(), answer.status, " (%s)" % answer.lost if answer.lost else ""), answer.at)
        return call, sent, answer

    def close(self):
        for conn in self.connections:
            conn.close()


def play_case(main):
    """Runs a case's main function; a signal to end stops it so that its processes are ended, too."""

    async def guarded():
        task = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_event_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2

    return asyncio.run(guarded())
