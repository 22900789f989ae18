"""A new configuration with SIGHUP moves the control feed of a large fleet while its servers are being replaced."""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True

from standins import (Client, Feed, Record, Router, brest_settings, configuration, free_port,  # noqa: E402
                      now_ms, play_case, wait_ready, write_file)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

SERVERS = 3200          # STANDING: 3,200 model servers at most
ROUTERS = 900           # and up to 900 routers, of which this case runs one
PARTS = 8               # child processes, so that none needs many descriptors
ROLL_STEPS = 8          # half of the model servers are replaced in steps (STANDING, roll+mass)
STEP_S = 0.9
FUNCTIONS = 40
RATE = 45.0             # requests a second at this router
DRAIN_AFTER_S = 6.0     # seconds from SIGHUP to the first drain that the new feed tells; 4 s count as told (DAYS)
WAVES = 4               # up to 39% are taken away within 4.8 to 16 s in one to four waves (brest-archive-later, preempt)
WAVE_S = 2.0
WAVE_SHARE = 0.09
DEAD_AFTER_S = 2.5      # listed as draining, dead 0.57 to 3 s later
GRACE_MS = 250          # obligations.stop-sending-within-us of the site
SLACK_MS = 50           # PROTOCOL: every time limit 50 ms longer
MEASURE_MS = 100        # given to the stand-ins' own delay


class Listed:
    """A model server as the feed tells of it."""

    def __init__(self, ident, address):
        self.id, self.address = ident, address

    def entry(self, phase="in_service", up_since_ms=0):
        return {"id": self.id, "host_port": self.address, "locality": "brest", "flavor": "four-core", "cell": 0,
                "phase": phase, "size": 4, "up_since_ms": up_since_ms}


class Part:
    """A child process with some of the servers."""

    def __init__(self, see):
        self.see = see
        self.done = asyncio.Queue()

    async def start(self, idents):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", os.path.join(os.path.dirname(HERE), "fleet.py"), json.dumps({"servers": idents}),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 22)
        line = json.loads(await self.process.stdout.readline())
        self.reading = asyncio.ensure_future(self.read())
        return line[1]

    async def read(self):
        while True:
            line = await self.process.stdout.readline()
            if not line:
                return
            values = json.loads(line)
            if values[0] == "done":
                self.done.put_nowait(values[2])
            else:
                self.see(values)

    async def command(self, name, idents):
        self.process.stdin.write((json.dumps([name, idents]) + "\n").encode())
        return await self.done.get()

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Case:
    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.random = random.Random(SEED)
        self.parts, self.part_of, self.listed = [], {}, {}
        self.told = {}
        self.late, self.sends = [], 0
        self.answers = {}

    def see(self, values):
        if values[0] in ("job", "order"):
            kind, ident, what, at = values
            self.sends += 1
            self.record.line("server %s: %s %s" % (ident, kind, what), at)
            told = self.told.get(ident)
            if told is not None and at > told + GRACE_MS + SLACK_MS + MEASURE_MS:
                self.late.append((ident, kind, what, at - told))
                self.record.line("server %s: NEW WORK %.0f ms after the drain was told" % (ident, at - told), at)
        elif values[0] == "end":
            self.record.line("server %s: job %s ended with code %d" % (values[1], values[2], values[3]), values[4])

    async def command(self, name, idents):
        by_part = {}
        for ident in idents:
            by_part.setdefault(self.part_of[ident], []).append(ident)
        results = await asyncio.gather(*[part.command(name, some) for part, some in by_part.items()])
        started = {}
        for result in results:
            started.update(result)
        return started

    async def drain(self, feed, idents):
        await self.command("drain", idents)
        at = now_ms()
        feed.add([self.listed[ident].entry("terminating") for ident in idents])
        for ident in idents:
            self.told[ident] = at
        self.record.line("feed: event %d, %d servers drain" % (len(feed.events), len(idents)), at)

    async def roll(self, feed):
        """Half of the model servers are replaced in steps."""
        old = sorted(self.listed)
        self.random.shuffle(old)
        old = old[:SERVERS // 2]
        size = len(old) // ROLL_STEPS
        for step in range(ROLL_STEPS):
            going = old[step * size:(step + 1) * size]
            await self.drain(feed, going)
            await asyncio.sleep(STEP_S / 2)
            await self.command("die", going)
            fresh = []
            for index, ident in enumerate(going):
                new = "s-%08x" % (0x10000 * (step + 1) + index)
                self.part_of[new] = self.part_of[ident]
                fresh.append(new)
            addresses = await self.command("start", fresh)
            started = int(now_ms())
            gone = [self.listed.pop(ident).entry("terminated") for ident in going]
            for new, address in addresses.items():
                self.listed[new] = Listed(new, address)
            feed.add(gone + [self.listed[new].entry("in_service", started) for new in addresses])
            self.record.line("feed: event %d, %d servers gone, %d new" % (
                len(feed.events), len(gone), len(addresses)))
            await asyncio.sleep(STEP_S / 2)

    async def traffic(self, client, until):
        pending = set()
        functions = ["%016x" % self.random.getrandbits(64) for _ in range(FUNCTIONS)]

        async def one(workload, function):
            _, _, answer = await client.request(workload, function, 4000)
            self.answers[answer.kind()] = self.answers.get(answer.kind(), 0) + 1

        while not until.is_set():
            chosen = functions[self.random.randrange(FUNCTIONS)]
            # A function belongs to one class, as a model does.
            workload = "re-pick" if int(chosen, 16) % 3 else "publish"
            task = asyncio.ensure_future(one(workload, chosen))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.random.expovariate(RATE))
        await asyncio.gather(*pending)

    async def waves(self, feed):
        """Some of the model servers are taken away: listed as draining, dead a while later."""
        left = sorted(ident for ident in self.listed if ident not in self.told)
        self.random.shuffle(left)
        size = int(SERVERS * WAVE_SHARE)
        ends = []
        for wave in range(WAVES):
            going = left[wave * size:(wave + 1) * size]
            await self.drain(feed, going)
            ends.append(asyncio.ensure_future(self.end(feed, going)))
            await asyncio.sleep(WAVE_S)
        await asyncio.gather(*ends)

    async def end(self, feed, idents):
        await asyncio.sleep(DEAD_AFTER_S)
        await self.command("die", idents)
        feed.add([self.listed[ident].entry("terminated") for ident in idents])
        self.record.line("feed: event %d, %d servers gone" % (len(feed.events), len(idents)))

    async def run(self):
        idents = ["s-%08x" % (index + 1) for index in range(SERVERS)]
        for index in range(PARTS):
            self.parts.append(Part(self.see))
        shares = [idents[index::PARTS] for index in range(PARTS)]
        for part, addresses in zip(self.parts, await asyncio.gather(
                *[part.start(share) for part, share in zip(self.parts, shares)])):
            for ident, address in addresses.items():
                self.part_of[ident] = part
                self.listed[ident] = Listed(ident, address)
        feed = Feed([self.listed[ident].entry() for ident in idents])
        address = await feed.open()
        listen = "127.0.0.1:%d" % free_port()
        settings = brest_settings(balancers=ROUTERS)

        def text(feed_address):
            return json.dumps(configuration("n3", listen, feed_address, feed.known(), settings),
                              separators=(",", ":"))

        router = Router(self.folder, "n3", listen, text(address), os.path.join(self.folder, "router.log"))
        client = Client(listen, self.record)
        stop = asyncio.Event()
        try:
            await router.start()
            if not await wait_ready(client):
                self.record.line("the router was not ready within 30 s")
                return 2
            self.record.line("router ready, %d model servers" % SERVERS)
            traffic = asyncio.ensure_future(self.traffic(client, stop))
            await asyncio.sleep(3.0)
            await self.roll(feed)
            await asyncio.sleep(1.0)
            if TROUBLE:
                moved = await feed.open()
                config = text(moved)
                write_file(router.config, config)
                self.record.line("SIGHUP: configuration of %d bytes, %d events known, feed moves from %s to %s" % (
                    len(config), len(feed.events), address, moved))
                router.signal(signal.SIGHUP)
                retired = asyncio.ensure_future(feed.retire(address))
            await asyncio.sleep(DRAIN_AFTER_S)
            await self.waves(feed)
            stop.set()
            await traffic
            if TROUBLE:
                await retired
                asked = [poll for poll in feed.polls if poll[1] == moved]
                self.record.line("the new feed was asked %d times" % len(asked))
            if router.process.returncode is not None:
                self.record.line("the case could not run: the router has ended by itself")
                return 2
        finally:
            await router.stop()
            client.close()
            for part in self.parts:
                await part.stop()
            with open(os.path.join(self.folder, "router.log")) as log:
                for line in log.readlines()[-20:]:
                    self.record.line("router's log: " + line.strip().replace(self.folder + "/", ""))
        self.record.line("answers: %s; %d jobs and orders sent; %d sent to a draining server too late" % (
            self.answers, self.sends, len(self.late)))
        if self.late:
            return 1
        if self.answers.get("served", 0) < 100:
            self.record.line("the case could not run: too little was served")
            return 2
        return 0


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record.line("case 3, TROUBLE=%d, SEED=%d" % (TROUBLE, SEED))
    with tempfile.TemporaryDirectory() as folder:
        case = Case(record, folder)
        try:
            result = await asyncio.wait_for(case.run(), 110.0)
        except Exception as problem:  # whatever stops a stand-in is no broken rule
            record.line("could not run: %r" % problem)
            result = 2
    record.line("result %d" % result)
    record.close()
    return result


if __name__ == "__main__":
    result = play_case(main)
    print("case 3: exit %d" % result)
    sys.exit(result)
