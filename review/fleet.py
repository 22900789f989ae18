"""Part of a large fleet of model servers: a child process that runs up to some hundreds of them.

Its arguments are the parameters as JSON; it reads commands from standard input, one a line, and writes what its servers
see to standard output, one JSON array a line."""

import asyncio
import json
import sys

from standins import Server, now_ms


class Reporter:
    """Reports what the servers of this process see."""

    def __init__(self):
        self.out = sys.stdout

    def say(self, *values):
        self.out.write(json.dumps(values) + "\n")
        self.out.flush()

    def job_arrived(self, job):
        self.say("job", job.server.id, "%016x" % job.id, job.first_byte)

    def job_ran(self, job):
        self.say("ran", job.server.id, "%016x" % job.id, now_ms())

    def job_ended(self, job, code):
        self.say("end", job.server.id, "%016x" % job.id, code, now_ms())

    def cancel_arrived(self, server, ident):
        pass

    def order_arrived(self, server, thing, count, first_byte):
        if count > 0:
            self.say("order", server.id, thing, first_byte)

    def result(self, job):
        return b"result of %016x: " % job.id + job.body


async def main():
    parameters = json.loads(sys.argv[1])
    reporter = Reporter()
    servers = {}
    for ident in parameters["servers"]:
        server = Server(ident, reporter)
        await server.listen()
        servers[ident] = server
    reporter.say("up", {ident: server.address for ident, server in servers.items()})
    reader = asyncio.StreamReader(limit=1 << 22)
    await asyncio.get_event_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while True:
        line = await reader.readline()
        if not line:
            return
        command, idents = json.loads(line)
        started = {}
        for ident in idents:
            if command == "drain":
                servers[ident].draining = True
            elif command == "die":
                servers.pop(ident).die()
            elif command == "start":
                servers[ident] = Server(ident, reporter)
                await servers[ident].listen()
                started[ident] = servers[ident].address
        reporter.say("done", command, started)


asyncio.run(main())
