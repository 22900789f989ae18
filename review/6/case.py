"""A keyed request that may have run is sent again after the time for which the servers of its group drop repeats."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import platform_standin as standin
import quimper

WINDOW_S = 2.0  # repeat-window-us of phase-pick
SLACK_S = 0.05  # the protocol page: every time limit 50 ms longer
LATE_S = 0.2  # connections to one server come up so late (STANDING: some, up to 1 s)
ERROR_AFTER_S = 1.92  # the slow and failing server (STANDING: one of eight) answers `error` after so long
WANTED_ENTITIES = 3
MOST_HELD_UP_S = 0.04  # a stand-in that answers later than it meant to shows nothing
KEEP_WARM_S = 3.0


async def case(record, folder, to_end):
    state = {"failing": None, "late": None, "held_up": 0.0}

    async def behave(server, request, answer):
        if state["failing"] is server:
            await asyncio.sleep(ERROR_AFTER_S)
            state["held_up"] = max(state["held_up"], time.time() - request["at"] - ERROR_AFTER_S)
            return answer(standin.ERROR)
        thing = request["fields"]["thing"]
        note = "hot" if thing in server.loaded else "started"
        await asyncio.sleep(0.04 if note == "hot" else 0.14)
        server.loaded.add(thing)
        answer(standin.OK, note, b"picked")

    feed = standin.Feed(record)
    await feed.start()
    halls = ["east-hall"] * 2 + ["west-hall"] * 3 + ["annex-hall"] * 3
    servers = []
    for index, hall in enumerate(halls):
        name = f"s-{index}"
        late = lambda _, name=name: LATE_S if state["late"] == name else 0.0
        servers.append(standin.Server(record, name, hall, behave, connect_delay=late))
    for server in servers:
        await server.start()
    feed.add([standin.member(server) for server in servers], complete=True)
    router = standin.Router(record, folder, "n1", feed, quimper.settings())
    to_end.append(router)
    await router.start()
    front = standin.Front(record, router.address)
    await front.connect()
    number = 0

    def send(entity):
        nonlocal number
        number += 1
        return front.send("phase-pick", entity, f"9b1f03aa5c7e{number:04x}", 3000, b"window", key=f"pick-{number:04x}")

    # Functions whose one loaded copy is on the same server of the router's own hall.
    failing, entities = None, []
    for index in range(60):
        entity = f"7f3a9c21e0b4{index:04x}"
        answered = await send(entity)
        at = [server for server in servers if server.arrived and server.arrived[-1]["id"] == answered.get("id")]
        if at and at[0].zone == "east-hall" and failing in (None, at[0]):
            failing = at[0]
            entities.append(entity)
        if len(entities) == WANTED_ENTITIES:
            break
    else:
        raise standin.CannotRun("the functions were not loaded in the router's hall")
    other = next(server for server in servers[:2] if server is not failing)
    # The functions stay warm. The router closes its connections to the other server, which are idle.
    until = time.time() + 30
    while other.writers and time.time() < until:
        await asyncio.sleep(KEEP_WARM_S)
        await asyncio.gather(*[send(entity) for entity in entities])
    record.add("case", "failing", server=failing.name, other=other.name, other_connections=len(other.writers))
    state["failing"] = failing
    state["late"] = other.name if standin.TROUBLE else None
    judged = [send(entity) for entity in entities]
    await asyncio.wait(judged, timeout=5)
    front.close()

    attempts = {}
    for server in servers:
        for request in server.arrived:
            attempts.setdefault(request["id"], []).append((request["at"], request["fields"].get("replay"), server.name))
    broken = []
    repeated = 0
    for call, sent in sorted(attempts.items()):
        sent.sort()
        for at, key, name in sent[1:]:
            repeated += 1
            after = at - sent[0][0]
            if after > WINDOW_S + SLACK_S:
                broken.append(f"request {call} with key {key} reached {name} {after:.3f} s after {sent[0][2]}, which had "
                              f"answered that it may have run; the servers drop repeats for {WINDOW_S} s")
    record.add("case", "further-attempts", count=repeated)
    if not repeated:
        raise standin.CannotRun("the router made no further attempt")
    if state["held_up"] > MOST_HELD_UP_S:
        raise standin.CannotRun(f"the machine held the slow server up for {state['held_up']:.3f} s")
    return broken


standin.run_case(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
