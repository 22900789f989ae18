"""Bad clients that begin a long record and never end it, at a router with little memory."""

import asyncio
import json
import os
import random
import signal
import struct
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True

from standins import (ERROR, Client, Connection, Feed, Platform, Record, Router, Server, brest_settings, configuration,  # noqa: E402
                      fcgi_params, fcgi_record, free_port, member, play_case, wait_ready)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

SERVERS = 12
MEMORY_MB = 32          # DAYS: between 32 and 192 MB
SOCKETS = 1024          # and between 256 and 1,024 descriptors; clients use at most a third of them
FUNCTIONS = 12
RATE = 40.0             # requests a second of the usual clients; a router receives up to 170
QUIET_S = 6.0
BAD_CLIENTS = 320      # they come by the hundred; with the usual ones fewer than a third of the descriptors
BAD_S = 6.0
UNKNOWN = 15000         # requests of some more bad clients, each for a function that nobody has ("ids unknown to every
UNKNOWN_CLIENTS = 8     # model server"), "hundreds of requests at once"
UNKNOWN_S = 4.0
BODY = 12000            # bytes of the body that come in a whole record first
CONTENT = 65535         # the length that the next record's head tells
PADDING = 255
SAMPLE_S = 0.01


def long_request():
    """A request whose body's second record tells a length of which the last byte never comes."""
    pairs = [("SCRIPT_NAME", "/rpc/re-pick"), ("HTTP_X_CALL_ID", "%016x" % random.getrandbits(64)),
             ("HTTP_X_PATIENCE_MS", "4000"), ("HTTP_X_ENTITY", "00000000000000aa"),
             ("HTTP_X_INFO", "memory_mb:512;lanes:4;load_ms:300")]
    head = fcgi_record(1, 1, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, 1, fcgi_params(pairs)) + fcgi_record(4, 1)
    head += fcgi_record(5, 1, b"x" * BODY)
    return head + struct.pack(">BBHHBB", 1, 5, 1, CONTENT, PADDING, 0) + b"x" * (CONTENT + PADDING - 1)


class Store(Server):
    """A model server that can load the usual clients' functions only."""

    known = frozenset()

    async def on_order(self, writer, ident, thing, count):
        if thing not in self.known:
            return self.send(writer, ERROR, ident, b"copies=0")
        await super().on_order(writer, ident, thing, count)


class Case:
    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.random = random.Random(SEED)
        self.answers = {}
        self.peak = 0.0
        self.killed_at = None
        self.bad = {"connected": 0, "answered": 0, "closed": 0, "reset": 0}
        self.unknown, self.unknown_answers = 0, {}

    async def watch_memory(self, router):
        """The platform's limit: over memory_mb the router is killed (DEPLOY)."""
        last = 0.0
        while router.process.returncode is None:
            used = router.memory_mb()
            if abs(used - last) >= 1.0:
                last = used
                self.record.line("platform: the router uses %.1f MB" % used)
            self.peak = max(self.peak, used)
            if used > MEMORY_MB:
                self.record.line("platform: %.1f MB are over the limit of %d MB: the router is KILLED" % (
                    used, MEMORY_MB))
                self.killed_at = time.time()
                router.signal(signal.SIGKILL)
                return
            await asyncio.sleep(SAMPLE_S)

    async def bad_client(self, port):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            self.bad["connected"] += 1
            writer.write(long_request())
            while True:
                data = await asyncio.wait_for(reader.read(4096), BAD_S)
                if not data:
                    self.bad["closed"] += 1
                    break
                self.bad["answered"] += 1
            writer.close()
        except (OSError, asyncio.TimeoutError):
            self.bad["reset"] += 1

    async def unknown_ids(self, listen, until):
        """A bad client with as many requests open as a connection may have."""
        conn = Connection()
        await conn.connect(listen)

        async def one():
            while self.unknown < UNKNOWN and time.time() < until and not conn.closed:
                self.unknown += 1
                answer = await conn.send([
                    ("SCRIPT_NAME", "/rpc/re-pick"), ("HTTP_X_CALL_ID", "%016x" % random.getrandbits(64)),
                    ("HTTP_X_PATIENCE_MS", "1500"), ("HTTP_X_ENTITY", "%016x" % random.getrandbits(64)),
                    ("HTTP_X_INFO", "memory_mb:3000;lanes:2;load_ms:1500")])
                self.unknown_answers[answer.kind()] = self.unknown_answers.get(answer.kind(), 0) + 1

        await asyncio.gather(*[one() for _ in range(32)])
        conn.close()

    async def traffic(self, client, until):
        pending = set()

        async def one(workload, function):
            _, _, answer = await client.request(workload, function, 4000)
            self.answers[answer.kind()] = self.answers.get(answer.kind(), 0) + 1

        while not until.is_set():
            function = self.functions[self.random.randrange(FUNCTIONS)]
            task = asyncio.ensure_future(one("re-pick" if int(function, 16) % 3 else "publish", function))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.random.expovariate(RATE))
        await asyncio.gather(*pending)

    async def run(self):
        platform = Platform(self.record)
        servers = [Store("s-%08x" % (index + 1), platform) for index in range(SERVERS)]
        self.functions = ["%016x" % self.random.getrandbits(64) for _ in range(FUNCTIONS)]
        Store.known = frozenset(self.functions)
        for server in servers:
            await server.listen()
        feed = Feed([member(server) for server in servers])
        address = await feed.open()
        port = free_port()
        listen = "127.0.0.1:%d" % port
        text = json.dumps(configuration("n3", listen, address, feed.known(), brest_settings(), MEMORY_MB, SOCKETS))
        router = Router(self.folder, "n3", listen, text, os.path.join(self.folder, "router.log"))
        client = Client(listen, self.record)
        stop = asyncio.Event()
        try:
            await router.start()
            watch = asyncio.ensure_future(self.watch_memory(router))
            if not await wait_ready(client):
                self.record.line("the router was not ready within 30 s")
                return 2
            self.record.line("router ready, it uses %.1f MB" % router.memory_mb())
            traffic = asyncio.ensure_future(self.traffic(client, stop))
            await asyncio.sleep(QUIET_S)
            self.record.line("before the bad clients: %.1f MB" % router.memory_mb())
            if TROUBLE:
                until = time.time() + UNKNOWN_S
                await asyncio.gather(*[self.unknown_ids(listen, until) for _ in range(UNKNOWN_CLIENTS)])
                self.record.line("bad clients sent %d requests for functions that nobody has: %s; %.1f MB" % (
                    self.unknown, self.unknown_answers, router.memory_mb()))
                self.record.line("%d bad clients connect; each sends all but the last of %d bytes" % (
                    BAD_CLIENTS, len(long_request()) + 1))
                bad = [asyncio.ensure_future(self.bad_client(port)) for _ in range(BAD_CLIENTS)]
                await asyncio.wait(bad, timeout=BAD_S)
            else:
                await asyncio.sleep(BAD_S)
            await asyncio.sleep(1.0)
            stop.set()
            await traffic
            ended = router.process.returncode is not None or self.killed_at is not None
            self.record.line("bad clients: %s; usual clients' answers: %s; most memory seen: %.1f MB" % (
                self.bad, self.answers, self.peak))
            watch.cancel()
        finally:
            await router.stop()
            client.close()
            with open(os.path.join(self.folder, "router.log")) as log:
                for line in log.readlines()[-20:]:
                    self.record.line("router's log: " + line.strip().replace(self.folder + "/", ""))
        if ended:
            return 1
        if self.answers.get("served", 0) < 100:
            self.record.line("the case could not run: too little was served")
            return 2
        return 0


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record.line("case 2, TROUBLE=%d, SEED=%d" % (TROUBLE, SEED))
    random.seed(SEED + 1000)
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = await asyncio.wait_for(Case(record, folder).run(), 110.0)
        except Exception as problem:  # whatever stops a stand-in is no broken rule
            record.line("could not run: %r" % problem)
            result = 2
    record.line("result %d" % result)
    record.close()
    return result


if __name__ == "__main__":
    result = play_case(main)
    print("case 2: exit %d" % result)
    sys.exit(result)
