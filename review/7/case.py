"""During an outage of discovery a router sends work to a server that drains, long after that counts as told."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import brest
import platform_standin as standin

TOLD_S = 7.0  # what the feed would have told counts as told no later than so long after the outage began
GRACE_S = 0.25  # stop-sending-within-us
SLACK_S = 0.05
OUTAGE_S = 15.0  # STANDING: "longer outages of discovery" than the 8 s of herd+mass
DRAIN_S = 3.5  # one server begins to drain so long after the outage began
SERVERS = 4


async def case(record, folder, to_end):
    async def behave(server, request, answer):
        thing = request["fields"]["thing"]
        if server.draining:
            return answer(standin.FULL)
        if thing not in server.loaded:
            return answer(standin.MISS)
        await asyncio.sleep(0.1)
        answer(standin.OK, "hot", b"picked")

    feed = standin.Feed(record)
    await feed.start()
    servers = [standin.Server(record, f"s-{index}", "brest", behave) for index in range(SERVERS)]
    for server in servers:
        await server.start()
    feed.add([standin.member(server) for server in servers], complete=True)
    router = standin.Router(record, folder, "n1", feed, brest.settings())
    to_end.append(router)
    await router.start()
    front = None
    number = 0

    async def new_front():
        # The front's web servers close a connection after 4 s idle; the next requests come on a new one.
        nonlocal front
        if front:
            front.close()
        front = standin.Front(record, router.address)
        await front.connect()

    await new_front()

    def send(entity):
        nonlocal number
        number += 1
        info = "memory_mb:3000;lanes:4;load_ms:200"
        return front.send("re-pick", entity, f"9b1f03aa5c7e{number:04x}", 4000, b"window", info=info)

    entities = [f"7f3a9c21e0b4{index:04x}" for index in range(16)]
    await asyncio.gather(*[send(entity) for entity in entities])
    started = time.time()
    if standin.TROUBLE:
        started = await feed.stop()

    async def until(offset):
        await asyncio.sleep(max(0.0, started + offset - time.time()))

    for offset in (2.3, 2.8, 3.3):
        await until(offset)
        await asyncio.gather(*[send(entity) for entity in entities])
    front.close()
    front = None
    await until(DRAIN_S)
    drained = servers[0]
    drained.draining = True
    event_at = feed.add([standin.member(drained, "terminating")])
    # A router without traffic for some seconds; then its clients send again.
    for offset in (12.0, 12.5, 13.0):
        await until(offset)
        await new_front()
        await asyncio.wait([send(entity) for entity in entities], timeout=0.4)
    if standin.TROUBLE:
        await until(OUTAGE_S)
        await feed.start()
        record.add("feed", "up")
    await until(OUTAGE_S + 2)
    front.close()
    # By the later of two readings: so long after the outage began, or after the event.
    limit = event_at + GRACE_S + SLACK_S + (TOLD_S if standin.TROUBLE else 0.0)
    broken = []
    for request in drained.arrived:
        if request["at"] > limit:
            broken.append(f"request {request['id']} reached {drained.name} {request['at'] - event_at:.3f} s after it "
                          f"began to drain, {request['at'] - limit:.3f} s after the last moment allowed")
    for order in drained.orders:
        if order["at"] > limit:
            broken.append(f"an order to load {order['thing']} reached {drained.name} {order['at'] - limit:.3f} s after "
                          "the last moment allowed")
    return broken


standin.run_case(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
