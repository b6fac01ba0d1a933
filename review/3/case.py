"""A batch job while one of six servers crashes three times in a row, each time before the first event of its runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from bench import (TROUBLE, STORE_PORT, Server, Store, configuration, item, main, results, submit, until)  # noqa: E402

FINISH_S = 18  # finish_s of the settings
DOWN_S = 1.0
SLOTS = 4


async def case(prefix, record, node):
    store = Store((f"{prefix}.200", STORE_PORT), record)
    await store.start()
    await store.put("op", "config", configuration(1))
    servers = [Server(n, (f"{prefix}.{100 + n}", 9000), store, record, slots=SLOTS, events=60, first_s=0.3, gap_s=0.1)
               for n in range(6)]
    for server in servers:
        await server.start()
    nodes = [node(1), node(2), node(3)]
    for started in nodes:
        await started.start()
    await asyncio.sleep(4)
    for asked in nodes:
        if not await until(asked.ready, 5):
            raise RuntimeError(f"{asked.name} is not ready")
    names = [f"{n:016x}" for n in range(0xA0, 0xA0 + 30)]
    job = "00000000000000f1"
    if not await submit(nodes[0], job, [item(name) for name in names], record):
        raise RuntimeError("the job was not accepted")
    accepted = record.now()
    last_crash = accepted
    faulty = servers[0]
    for _ in range(3 if TROUBLE else 0):
        async def works():
            return faulty.running > 0
        await until(works, 10, 0.01)
        await asyncio.sleep(0.2)
        await faulty.crash()
        last_crash = record.now()
        await asyncio.sleep(DOWN_S)
        await faulty.start()
    listed = []
    while record.now() < max(accepted + FINISH_S, last_crash + 21) + 4:
        await asyncio.sleep(0.5)
        read = await results(nodes[1], job)
        if read is None:
            continue
        listed = read[1]
        if len(listed) == read[0]:
            break
    record(f"client: {len(listed)} of {len(names)} items are listed {record.now() - accepted:.1f} s after the 202, "
           f"{record.now() - last_crash:.1f} s after the last crash")
    states = {result["id"]: result["state"] for result in listed}
    for name in names:
        if states.get(name) != "completed":
            runs = [run for run in Server.runs if run.request == name]
            told = "; ".join(f"{run.server} at {run.began:.2f} s: {run.how}" for run in runs)
            record(f"client: item {name} is {states.get(name, 'not listed')}; its runs: {told}")
    if len(listed) == len(names):
        return all(state == "completed" for state in states.values())
    # The rule's excuses, over the last 5 s.
    now = record.now()
    ended = lambda run: now if run.ended is None else run.ended
    recent = [run for run in Server.runs if ended(run) > now - 5]
    whole = [run for run in recent if run.how == "whole" and run.ended > now - 3]
    failed = [run for run in Server.runs if run.how == "the server crashed" and run.ended > now - 20]
    busy = sum(min(ended(run), now) - max(run.began, now - 5) for run in recent) / 5
    record(f"servers: {len(recent)} runs in the last 5 s, {len(whole)} whole in the last 3 s, {len(failed)} failed in the "
           f"last 20 s; {busy:.1f} of {SLOTS * len(servers)} slots taken")
    return bool(recent or whole or failed or busy > SLOTS * len(servers) / 2)


main(case, FOLDER)
