"""A late heartbeat brings a server back that has left."""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from standins import *  # noqa: E402, F403

HOSTS = 3
SERVERS = 3
WORKERS = 9
WORK_SECONDS = 0.03
LOST_AT = 5.0
"""A heartbeat of the server that leaves is sent; the store does it late."""
LATE_SECONDS = 5.5
"""The pages name 1 to 6."""
REMOVED_AT = 8.3
"""The store accepts the removal, over stableWindowMs after the lost answer."""
ENDS_AT = 16.0
"""The server exits."""
DRAIN_SECONDS = 2.0


class OrderServer(Server):
    has_ended = False

    async def handle(self, req, reader, writer):
        self.begin(req)
        await asyncio.sleep(WORK_SECONDS)
        if self.has_ended:
            return False
        writer.write(reply(200, self.answer_headers(req), b"done"))
        return True


async def case(record, temporary, has_trouble, hosts):
    store = Store()
    await store.start()
    servers = [OrderServer(f"s{n}", "stock", record) for n in range(SERVERS)]
    beats = {}
    for server in servers:
        await server.start()
        beats[server.name] = asyncio.create_task(server.beat(store))
    store.put("keyed.op", "config", manifest(1))
    for number in range(HOSTS):
        hosts.append(Host(f"host-{number}", store, temporary))
        await hosts[-1].start()
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(3)
    begun_at = record.now()
    leaving = servers[0]
    counts = collections.Counter()
    is_over = False

    async def work(worker):
        number = 0
        while not is_over:
            number += 1
            headers = {
                "Attempt-Id": f"w{worker}-{number}",
                "Deadline-Ms": "1500",
                "Authorization": "Bearer key-mill",
            }
            address = hosts[worker % HOSTS].front
            answer = await call_once(address, "POST", "/book/x", headers, b"order")
            counts[answer.status if answer is not None else None] += 1
            await asyncio.sleep(0.03)

    workers = [asyncio.create_task(work(n)) for n in range(WORKERS)]

    async def until(at):
        await asyncio.sleep(begun_at + at - record.now())

    await until(LOST_AT)
    late = leaving.entry()
    if has_trouble:
        record.write(f"heartbeat {late['seq']} of {leaving.name}: no answer, done late")
    await until(REMOVED_AT)
    beats[leaving.name].cancel()
    store.drop("keyed.servers", leaving.name)
    removed_at = record.now()
    record.write(f"the store accepts the removal of {leaving.name}, seq {leaving.seq}")
    await until(LOST_AT + LATE_SECONDS)
    if has_trouble:
        store.put("keyed.servers", leaving.name, late)
        record.write(f"heartbeat {late['seq']} of {leaving.name} is done")
    await until(ENDS_AT)
    leaving.has_ended = True
    record.write(f"server {leaving.name} exits")
    await asyncio.sleep(0.2)
    is_over = True
    await asyncio.gather(*workers)
    late_runs = [r for r in leaving.arrivals if r.at > removed_at + DRAIN_SECONDS]
    record.write(f"clients got {dict(counts)}")
    record.write(
        f"{len(late_runs)} requests reached {leaving.name} later than "
        f"{DRAIN_SECONDS} s after its removal, from {late_runs[0].at if late_runs else 0:.3f} "
        f"to {late_runs[-1].at if late_runs else 0:.3f}"
    )
    return bool(late_runs)


sys.exit(run_case(HERE, case))
