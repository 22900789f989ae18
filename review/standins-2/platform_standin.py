"""Stand-ins for the platform around one real router: the control feed, model servers, the front's web server, and a
proxy that delays connections. They follow the users' protocol page. Only the standard library is used."""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FROM_ROUTER, FROM_SERVER = 76, 108
REQUEST, GIVE_UP, PING, ORDER, UNLOAD = 65, 66, 67, 69, 71
OK, MISS, FULL, ERROR, OVER, PONG = 97, 99, 100, 101, 102, 103


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self.started = time.time()
        self.lines = []

    def add(self, who, what, **more):
        now = time.time()
        text = " ".join(f"{key}={value}" for key, value in more.items())
        self.lines.append((now, f"{now - self.started:9.4f} {who:<10} {what} {text}".rstrip()))
        return now

    def write(self, path):
        with open(path, "w") as out:
            out.write("seconds   who        what\n")
            for _, line in sorted(self.lines, key=lambda entry: entry[0]):
                out.write(line + "\n")


class Feed:
    """The control feed: numbered events, polled over HTTP/1.1."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.told_at = {}
        self.changed = asyncio.Event()
        self.server = None
        self.port = free_port()
        self.writers = set()
        # Seconds by which each answer comes late.
        self.delay = 0.0

    def add(self, members, complete=False):
        number = len(self.events) + 1
        update = {"revision": number, "complete": complete, "members": members}
        self.events.append({"n": number, "members": update})
        states = ",".join(f"{m['id']}:{m['phase']}" for m in members)
        now = self.record.add("feed", "event", n=number, members=states)
        self.changed.set()
        self.changed = asyncio.Event()
        return now

    def known(self):
        return {"n": len(self.events), "events": list(self.events)}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self):
        """Discovery is down: open connections end, and new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.add("feed", "down")
        return time.time()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = re.search(rb"SUB=(\d+)&wait=(\d+)", head)
                last, wait = int(query[1]), min(int(query[2]), 5000) / 1000
                if len(self.events) <= last and wait > 0:
                    try:
                        await asyncio.wait_for(self.changed.wait(), wait)
                    except asyncio.TimeoutError:
                        pass
                answer = {"n": len(self.events), "events": self.events[last:]}
                if self.delay > 0:
                    await asyncio.sleep(self.delay)
                    self.record.add("feed", "answers-late", by=self.delay, after_event=last, events=len(answer["events"]))
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body))
                writer.write(body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def member(server, phase="in_service", up_since_ms=0):
    return {"id": server.name, "host_port": f"127.0.0.1:{server.port}", "locality": server.zone, "flavor": "std",
            "cell": 0, "phase": phase, "size": server.size, "up_since_ms": up_since_ms}


def frame(code, ident, fields=b"", body=b""):
    content = fields + body
    head = struct.pack(">BBHIQ", FROM_SERVER, code, len(fields), len(body), ident)
    return head + content + struct.pack(">I", zlib.crc32(content))


class Server:
    """A model server. `behave(server, request, answer)` is a coroutine that may answer a request."""

    def __init__(self, record, name, zone, behave, size=4, connect_delay=None, forget_after=None):
        self.record, self.name, self.zone, self.behave, self.size = record, name, zone, behave, size
        # Seconds by which a connection comes up late, by the count of connections so far.
        self.connect_delay = connect_delay or (lambda count: 0.0)
        # A connection that was idle for longer is forgotten: it stays open, and nothing on it is answered any more.
        self.forget_after = forget_after
        self.forgotten = 0
        self.useless = set()
        self.port = free_port()
        self.connections = 0
        self.arrived = []
        self.orders = []
        self.draining = False
        self.loaded = set()
        self.server = None
        self.tasks = set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def kill(self):
        """The process dies: its connections are reset and new ones refused."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.loaded = set()
        self.record.add(self.name, "dies")

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        self.record.add(self.name, "connection", number=number)
        delay = self.connect_delay(number)
        open_tasks = {}
        try:
            if delay > 0:
                # Nothing that is sent reaches the server before the connection has come up.
                await asyncio.sleep(delay)
                self.record.add(self.name, "connection-up", number=number, late=delay)
            last_used = time.time()
            while True:
                head = await reader.readexactly(16)
                if self.forget_after and not open_tasks and time.time() - last_used > self.forget_after:
                    self.forgotten += 1
                    self.record.add(self.name, "connection-forgotten", number=number, idle=f"{time.time() - last_used:.3f}")
                    while await reader.read(65536):
                        pass
                    return
                last_used = time.time()
                mark, code, field_bytes, body_bytes, ident = struct.unpack(">BBHIQ", head)
                content = await reader.readexactly(field_bytes + body_bytes)
                check = struct.unpack(">I", await reader.readexactly(4))[0]
                if mark != FROM_ROUTER or check != zlib.crc32(content):
                    return
                text = content[:field_bytes].decode()
                fields = dict(pair.split("=", 1) for pair in text.split(",") if pair)
                self.take(writer, open_tasks, number, code, ident, fields, content[field_bytes:])
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            for task in open_tasks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    def stop_short(self, request, code, note, data):
        """Half of an answer; the connection stays open and is of no further use, also for other requests on it."""
        whole = frame(code, request["ident"], f"remark={note}".encode(), data)
        request["writer"].write(whole[: len(whole) // 2])
        self.useless.add(request["connection"])
        self.record.add(self.name, "stops-short", id=request["id"], connection=request["connection"])

    def take(self, writer, open_tasks, number, code, ident, fields, body):
        if number in self.useless:
            return
        if code == PING:
            writer.write(frame(PONG, ident))
        elif code == ORDER:
            self.take_order(writer, ident, fields)
        elif code == GIVE_UP:
            self.record.add(self.name, "given-up", id=f"{ident:016x}")
            task = open_tasks.pop(ident, None)
            if task:
                task.cancel()
        elif code == REQUEST:
            request = {"id": f"{ident:016x}", "ident": ident, "fields": fields, "body": body, "connection": number,
                       "writer": writer}
            request["at"] = self.record.add(self.name, "request", id=request["id"], **fields)
            self.arrived.append(request)

            def answer(code, note=None, data=b""):
                if number in self.useless:
                    return
                field = f"remark={note}".encode() if note else b""
                self.record.add(self.name, "answer", id=request["id"], code=code, remark=note)
                writer.write(frame(code, ident, field, data))

            task = asyncio.ensure_future(self.behave(self, request, answer))
            open_tasks[ident] = task
            task.add_done_callback(lambda _: open_tasks.pop(ident, None))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        elif code == UNLOAD:
            self.record.add(self.name, "unload", id=f"{ident:016x}")

    def take_order(self, writer, ident, fields):
        thing, copies = fields["thing"], int(fields["copies"])
        at = self.record.add(self.name, "order", thing=thing, copies=copies)
        if copies > 0:
            self.orders.append({"at": at, "thing": thing})
            if self.draining:
                writer.write(frame(FULL, ident, b"copies=0"))
                return
            self.loaded.add(thing)
        count = 1 if thing in self.loaded else 0
        writer.write(frame(OK, ident, b"copies=%d" % count))


def pairs(fields):
    out = b""
    for name, value in fields:
        name, value = name.encode(), value.encode()
        for length in (len(name), len(value)):
            out += bytes([length]) if length < 128 else struct.pack(">I", length | 0x80000000)
        out += name + value
    return out


def fcgi(kind, ident, content=b""):
    return struct.pack(">BBHHBB", 1, kind, ident, len(content), 0, 0) + content


class Front:
    """One connection of the front's web server to the router, over FastCGI with KEEP_CONN."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.waiting = {}
        self.bytes = {}
        self.next_id = 1
        self.reader = self.writer = None
        self.answers = []

    async def connect(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())

    async def read(self):
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, ident, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = (await self.reader.readexactly(length + padding))[:length]
                if kind == 6:
                    self.bytes[ident] = self.bytes.get(ident, b"") + content
                elif kind == 3:
                    self.finish(ident, content[4])
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.add("front", "connection-ended", open=len(self.waiting))
            for future, _, _ in self.waiting.values():
                if not future.done():
                    future.set_result({"status": "lost", "body": b""})
            self.waiting.clear()

    def finish(self, ident, protocol_status):
        raw = self.bytes.pop(ident, b"")
        head, _, body = raw.partition(b"\r\n\r\n")
        found = re.search(rb"Status: (\d+)", head)
        status = "overloaded" if protocol_status == 2 else (found[1].decode() if found else "none")
        future, call, sent_at = self.waiting.pop(ident, (None, "unknown", time.time()))
        now = self.record.add("front", "answer", id=call, status=status, after=f"{time.time() - sent_at:.3f}",
                              body=body[:60].decode("latin-1").strip().replace(" ", "_"))
        if future and not future.done():
            future.set_result({"status": status, "body": body, "at": now, "id": call})

    def send(self, workload, entity, call, patience_ms, body=b"", info="memory_mb:300;lanes:1;load_ms:100", key=None):
        ident = self.next_id
        self.next_id = self.next_id % 60000 + 1
        fields = [("SCRIPT_NAME", f"/rpc/{workload}"), ("HTTP_X_CALL_ID", call),
                  ("HTTP_X_PATIENCE_MS", str(patience_ms)), ("HTTP_X_ENTITY", entity), ("HTTP_X_INFO", info)]
        if key:
            fields.append(("HTTP_X_DEDUPE_KEY", key))
        out = fcgi(1, ident, struct.pack(">HB5x", 1, 1)) + fcgi(4, ident, pairs(fields)) + fcgi(4, ident)
        if body:
            out += fcgi(5, ident, body)
        out += fcgi(5, ident)
        self.writer.write(out)
        now = self.record.add("front", "send", id=call, workload=workload, entity=entity, key=key, patience=patience_ms)
        future = asyncio.get_event_loop().create_future()
        self.waiting[ident] = (future, call, now)
        return future

    async def health(self):
        ident = self.next_id
        self.next_id += 1
        out = fcgi(1, ident, struct.pack(">HB5x", 1, 1)) + fcgi(4, ident, pairs([("SCRIPT_NAME", "/health")]))
        self.writer.write(out + fcgi(4, ident) + fcgi(5, ident))
        future = asyncio.get_event_loop().create_future()
        self.waiting[ident] = (future, "health", time.time())
        return (await asyncio.wait_for(future, 5))["status"]

    def close(self):
        self.task.cancel()
        self.writer.close()


def run_line():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.M)[1]


class Router:
    """The real router, started by the deploy file's `run`."""

    def __init__(self, record, folder, name, feed, settings, limits=None):
        self.record, self.folder, self.name, self.feed, self.settings = record, folder, name, feed, settings
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.address = f"127.0.0.1:{free_port()}"
        self.config = os.path.join(folder, f"{name}.json")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.process = None

    def write_config(self, feed=None):
        feed = feed or self.feed
        config = {"name": self.name, "listen": self.address, "seed": os.urandom(8).hex(), "limits": self.limits,
                  "feed": f"127.0.0.1:{feed.port}", "known": feed.known(), "settings": self.settings}
        with open(self.config + ".new", "w") as out:
            json.dump(config, out)
        os.rename(self.config + ".new", self.config)

    async def start(self, log="warn"):
        self.write_config()
        tmp = tempfile.mkdtemp(dir=self.folder)
        env = dict(os.environ, RELAY_CONFIG=self.config, RELAY_NAME=self.name, RELAY_LISTEN=self.address, TMPDIR=tmp)
        line = run_line() + (os.environ.get("ROUTER_ARGS", ""))
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", line, cwd=ROOT, env=env,
                                                            stdin=asyncio.subprocess.DEVNULL,
                                                            stdout=self.log, stderr=self.log)
        self.record.add(self.name, "started")
        until = time.time() + 15
        while time.time() < until:
            front = Front(self.record, self.address)
            try:
                await front.connect()
                if await front.health() == "200":
                    front.close()
                    self.record.add(self.name, "ready")
                    return
                front.close()
            except (ConnectionError, asyncio.TimeoutError):
                pass
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("the router did not get ready")

    def signal(self, number):
        self.record.add(self.name, "signal", number=int(number))
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    pass


def run_case(case, record_file, limit=105):
    """Plays `case(record, temporary_folder, at_end)`, which returns what broke the rule as a list of lines, writes the record and
    ends the process: with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run, for whatever reason."""
    record = Record()
    outcome = 2

    async def main():
        to_end = []
        # Who ends the script early, or lets it run out of time, leaves no router behind either.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(case(record, temporary, to_end), limit)
            finally:
                for router in to_end:
                    await router.end()

    try:
        if not os.path.exists(os.path.join(ROOT, "target", "release", "sanddrum-edge")):
            raise CannotRun("target/release/sanddrum-edge is missing: run the build of the deploy file first")
        broken = asyncio.run(main())
        for line in broken:
            record.add("check", "BROKEN", why=line)
            print("broken:", line)
        if not broken:
            record.add("check", "held")
            print("held")
        outcome = 1 if broken else 0
    except BaseException as why:  # An error of the script is no verdict on the router.
        print("could not run:", repr(why))
        record.add("check", "could-not-run", why=repr(why))
    record.write(record_file)
    sys.stdout.flush()
    # Tasks of the stand-ins that are still open must not change the exit code.
    os._exit(outcome)
