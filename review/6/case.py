"""Streams that use all their tokens come late in a planned stop, after many that used a third of theirs."""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
from platform2 import BOUNDS, DIRECTORY, FRONT, HOST, REGION, TROUBLE, CannotRun, Fleet, configuration, main, route

TOKENS_OUT = 203  # the most that each request may generate; the servers put seven tokens into an event
USUAL, LONG, GAP_S = 9, 29, 0.125  # events of a stream: a third of the tokens, and all of them
DEADLINE_S = 4.0
LATE_S = (4.0, 4.1, 4.2, 4.3)  # after the SIGTERM


async def case(folder):
    fleet = Fleet(folder, nodes=3)
    answers = {}

    async def stream(node, request):
        """A client's stream that may run once: its status and whether it is whole."""
        headers = {"X-Dappleyard-Request-Id": request, "X-Dappleyard-Model": "m", "X-Dappleyard-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                   "X-Dappleyard-Token-Count": f"491,{TOKENS_OUT}", "X-Dappleyard-Prompt-Prefix": f"{request}:491"}
        sent = time.monotonic()
        status, _, body = await fleet.call(node.ip, FRONT, "POST", "/digest/1", headers, b"hello")
        answers[request] = status, body.count(b"data: "), time.monotonic() - sent

    async def usual_clients():
        number = 0
        while True:
            for node in fleet.nodes:
                number += 1
                tasks.add(asyncio.create_task(stream(node, f"57{number:06x}")))
            await asyncio.sleep(0.15)

    tasks = set()
    for _ in range(6):
        fleet.add_server(slots=17, pace=lambda request: (LONG if request.startswith("1a") else USUAL, GAP_S))
    try:
        await fleet.start(configuration(10, [route("digest", "streaming", timeout_ms=4000, target_ms=1000, gap_aim_ms=300, max_attempts=1,
                                                   resumable=False)]))
        await asyncio.sleep(2)
        usual = asyncio.create_task(usual_clients())
        await asyncio.sleep(9)
        usual.cancel()
        await asyncio.sleep(2)
        broken = [request for request, (status, events, _) in answers.items() if status != 200 or events != USUAL]
        fleet.record.say("streams before the stop:", len(answers), "not whole:", len(broken))
        if broken:
            raise CannotRun("streams before the stop weren't whole")
        stopped, other = fleet.nodes[:2]
        _, _, body = await fleet.call(other.ip, DIRECTORY, "GET", f"/v1/resolve?name={HOST}&region={REGION}&zone={stopped.zone}")
        found = json.loads(body)
        if f"{stopped.ip}:{FRONT}" not in found["addresses"] or 3 * found["ttl_s"] < max(LATE_S):
            raise CannotRun("clients don't keep the address for so long")
        asked = time.monotonic()
        if TROUBLE:
            stopped.signal(signal.SIGTERM)
        late = {f"1a{number:06x}": after for number, after in enumerate(LATE_S)}
        for request, after in late.items():
            await asyncio.sleep(asked + after - time.monotonic())
            tasks.add(asyncio.create_task(stream(stopped, request)))
        await asyncio.sleep(DEADLINE_S + 1.5)
        begun = {run[1] for server in fleet.servers for run in server.begun}
        lost = []
        for request, after in late.items():
            status, events, took = answers.get(request, (None, 0, 0))
            fleet.record.say(f"sent {after} s after the SIGTERM: status {status}, {events} of {LONG} events, ended after {took:.2f} s,",
                             "a server had it" if request in begun else "no server had it")
            # Cut before its deadline, though its server was at work and did not break off.
            if status is None and request in begun and took < DEADLINE_S - 0.1:
                lost.append(request)
        fleet.record.say("lost:", lost, "processes that ended:", fleet.ended_by_itself() if not TROUBLE else "(the one that was stopped)",
                         "grace_s:", BOUNDS["grace_s"])
        return not lost
    finally:
        fleet.stop()


main(case, FOLDER)
