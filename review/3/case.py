"""The control feed is down for some seconds, and model servers drain meanwhile."""

import asyncio
import json
import os
import random
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True

from standins import (Client, Feed, Platform, Record, Router, Server, brest_settings, configuration,  # noqa: E402
                      free_port, member, now_ms, wait_ready)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

SERVERS = 12            # 11 to 14 model servers
FUNCTIONS = 16
PERIOD_S = 2.5          # the load is bursty: so long from one burst to the next
BURST = 32              # requests of a burst; 13 a second in the mean
BURST_S = 0.1
WARM_BURSTS = 4
DOWN_S = 8.0            # STANDING, herd+mass: discovery is down for 8 s
DRAIN_S = 5.2           # seconds from the outage's begin to the drain: just after a burst
DRAINING = 4            # a third of them; up to 39% are taken away (LATER of brest-archive)
DEAD_AFTER_S = 2.9      # listed as draining, dead 0.57 to 3 s later
TOLD_AFTER_MS = 7000    # PROTOCOL: told no later than 7 s after the outage began
GRACE_MS = 250          # obligations.stop-sending-within-us of the site
SLACK_MS = 50           # PROTOCOL: every time limit 50 ms longer


class Seen(Platform):
    """Judges what comes to a model server that drains."""

    def __init__(self, record):
        super().__init__(record)
        self.told, self.listed = {}, {}
        self.late, self.in_time = [], 0

    def check(self, server, what, at):
        told = self.told.get(server.id)
        if told is None:
            return
        if at > told + GRACE_MS + SLACK_MS:
            self.late.append((server.id, what, at - told))
            self.record.line("server %s: NEW WORK (%s) %.0f ms after it counts as told that it drains, %.0f ms after "
                             "the event" % (server.id, what, at - told, at - self.listed[server.id]), at)
        else:
            self.in_time += 1

    def job_arrived(self, job):
        super().job_arrived(job)
        self.check(job.server, "job %016x" % job.id, job.first_byte)

    def order_arrived(self, server, thing, count, first_byte):
        super().order_arrived(server, thing, count, first_byte)
        if count > 0:
            self.check(server, "order", first_byte)


class Case:
    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.random = random.Random(SEED)
        self.answers = {}

    async def bursts(self, client, began, until):
        """A burst every PERIOD_S from `began` on."""
        functions = ["%016x" % self.random.getrandbits(64) for _ in range(FUNCTIONS)]
        pending, number = set(), 0

        async def one(delay, function):
            await asyncio.sleep(delay)
            _, _, answer = await client.request("re-pick" if int(function, 16) % 3 else "publish", function, 4000)
            self.answers[answer.kind()] = self.answers.get(answer.kind(), 0) + 1

        while True:
            at = began + number * PERIOD_S
            if at > until:
                break
            await asyncio.sleep(max(0.0, at - asyncio.get_event_loop().time()))
            for index in range(BURST):
                task = asyncio.ensure_future(one(self.random.random() * BURST_S, functions[index % FUNCTIONS]))
                pending.add(task)
                task.add_done_callback(pending.discard)
            number += 1
        await asyncio.gather(*pending)

    async def run(self):
        seen = Seen(self.record)
        servers = [Server("s-%08x" % (index + 1), seen, work_ms=60) for index in range(SERVERS)]
        for server in servers:
            await server.listen()
        feed = Feed([member(server) for server in servers])
        address = await feed.open()
        listen = "127.0.0.1:%d" % free_port()
        text = json.dumps(configuration("n3", listen, address, feed.known(), brest_settings()))
        router = Router(self.folder, "n3", listen, text, os.path.join(self.folder, "router.log"))
        client = Client(listen, self.record)
        loop = asyncio.get_event_loop()
        try:
            await router.start()
            if not await wait_ready(client):
                self.record.line("the router was not ready within 30 s")
                return 2
            began = loop.time() + 0.2
            # The outage begins with a burst; the fourth burst from there on comes when 7 s and the grace have gone.
            down_at = began + WARM_BURSTS * PERIOD_S
            traffic = asyncio.ensure_future(self.bursts(client, began, down_at + DOWN_S + 3.0))
            await asyncio.sleep(down_at - loop.time())
            down_ms = now_ms()
            if TROUBLE:
                self.record.line("feed: down; open connections are reset and new ones refused")
                feed.down(address)
            await asyncio.sleep(down_at + DRAIN_S - loop.time())
            used = {}
            for job in seen.jobs:
                used[job.server] = max(used.get(job.server, 0.0), job.arrived)
            going = sorted(used, key=lambda server: -used[server])[:DRAINING]
            at = now_ms()
            for server in going:
                server.draining = True
                seen.listed[server.id] = at
                seen.told[server.id] = max(at, down_ms + TOLD_AFTER_MS) if TROUBLE else at
            feed.add([member(server, "terminating") for server in going])
            self.record.line("feed: event %d, these drain: %s" % (
                len(feed.events), ", ".join(server.id for server in going)), at)
            await asyncio.sleep(DEAD_AFTER_S)
            for server in going:
                server.die()
            feed.add([member(server, "terminated") for server in going])
            self.record.line("feed: event %d, these are gone" % len(feed.events))
            await asyncio.sleep(max(0.0, down_at + DOWN_S - loop.time()))
            if TROUBLE:
                await feed.up(address)
                self.record.line("feed: up again")
            await traffic
            ended = router.process.returncode is not None
        finally:
            await router.stop()
            client.close()
            with open(os.path.join(self.folder, "router.log")) as log:
                for line in log.readlines()[-20:]:
                    self.record.line("router's log: " + line.strip().replace(self.folder + "/", ""))
        self.record.line("answers: %s; sent to a draining server: %d in time, %d too late" % (
            self.answers, seen.in_time, len(seen.late)))
        if ended or self.answers.get("lost", 0):
            return 1
        if self.answers.get("served", 0) < 100:
            self.record.line("the case could not run: too little was served")
            return 2
        return 1 if seen.late else 0


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    record.line("case 3, TROUBLE=%d, SEED=%d" % (TROUBLE, SEED))
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = await asyncio.wait_for(Case(record, folder).run(), 110.0)
        except (OSError, asyncio.TimeoutError) as problem:
            record.line("could not run: %r" % problem)
            result = 2
    record.line("result %d" % result)
    record.close()
    return result


if __name__ == "__main__":
    result = asyncio.run(main())
    print("case 3: exit %d" % result)
    sys.exit(result)
