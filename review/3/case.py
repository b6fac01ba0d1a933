"""A stream that may not be repeated comes late in a planned stop and takes 3.6 s, within its deadline."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from bench import (DIRECTORY_PORT, FRONT_PORT, HOST, TROUBLE, STORE_PORT, Server, Store, call, configuration,  # noqa: E402
                   main, until)

GRACE_S = 8  # grace_s of the settings
SENT_AFTER_S = 4.3  # after the SIGTERM; less than three times ttl_s
DEADLINE_S = 4.0  # of damage-digest
SHORT, LONG = 4, 29  # events of a stream; one each 0.125 s, gap_aim_ms is 300


async def stream(address, name, events, record):
    """Sends a stream's request on a new connection: (whole, events, seconds)."""
    sent = record.now()
    reader, writer = await asyncio.open_connection(*address)
    body = b"hello"
    writer.write((f"POST /digest/x HTTP/1.1\r\nHost: {HOST}\r\nX-Dappleyard-Request-Id: {name}\r\n"
                  f"X-Dappleyard-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nX-Dappleyard-Model: m\r\n"
                  f"X-Dappleyard-Token-Count: 491,{events * 7}\r\nX-Dappleyard-Prompt-Prefix: {name}:491\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    answer = b""
    try:
        while not answer.endswith(b"\r\n0\r\n\r\n"):
            piece = await asyncio.wait_for(reader.read(65536), DEADLINE_S + 1)
            if not piece:
                break
            answer += piece
            if b"\r\n\r\n" in answer and b" 200 " not in answer.split(b"\r\n")[0]:
                await asyncio.sleep(0.05)
                break
    except (ConnectionError, asyncio.TimeoutError) as error:
        record(f"client: {name}: {error!r}")
    writer.close()
    status = answer.split(b"\r\n")[0].decode("latin-1") or "no answer"
    whole = answer.endswith(b"\r\n0\r\n\r\n")
    return status, whole, answer.count(b"data: "), record.now() - sent


async def case(prefix, record, node):
    store = Store((f"{prefix}.200", STORE_PORT), record)
    await store.start()
    base = configuration(1)
    route = {"name": "damage-digest", "host": HOST, "path_prefix": "/digest/", "kind": "streaming", "timeout_ms": 4000,
             "target_ms": 1000, "gap_aim_ms": 300, "priority": 0, "service": "llm", "max_attempts": 1, "resumable": False,
             "sticky": True}
    await store.put("op", "config", {**base, "routes": base["routes"] + [route]})

    class ByTokens(Server):
        """Makes an event of each seven tokens that the request asks for."""

        async def run(self, name, headers, reader, writer):
            self.events = int(headers["x-dappleyard-token-count"].split(",")[1]) // 7
            await super().run(name, headers, reader, writer)

    servers = [ByTokens(n, (f"{prefix}.{100 + n}", 9000), store, record, slots=8, events=0, first_s=0.125, gap_s=0.125)
               for n in range(4)]
    for server in servers:
        await server.start()
    stopped, other = node(1), node(2)
    for started in (stopped, other):
        await started.start()
    for asked in (stopped, other):
        if not await until(asked.ready, 10):
            raise RuntimeError(f"{asked.name} is not ready")
    await asyncio.sleep(3)
    for number in range(20):
        status, whole, events, took = await stream((stopped.ip, FRONT_PORT), f"{number:016x}", SHORT, record)
        if not whole:
            raise RuntimeError(f"a stream before the stop: {status}, {events} events")
    record("client: 20 short streams were answered whole")
    status, body = await call((other.ip, DIRECTORY_PORT), "GET", f"/v1/resolve?name={HOST}&region=home&zone=north")
    answer = json.loads(body)
    record(f"client: the directory of {other.name} answers {answer}")
    if f"{stopped.ip}:{FRONT_PORT}" not in answer["addresses"] or 3 * answer["ttl_s"] < SENT_AFTER_S:
        raise RuntimeError("the address is not to be had for so long")
    asked = record.now()
    if TROUBLE:
        stopped.process.send_signal(signal.SIGTERM)
        record(f"{stopped.name} is asked to stop (SIGTERM)")
    await asyncio.sleep(asked + SENT_AFTER_S - record.now())
    status, whole, events, took = await stream((stopped.ip, FRONT_PORT), "00000000000000aa", LONG, record)
    record(f"client: the stream sent {SENT_AFTER_S} s later: {status}, {events} of {LONG} events in {took:.2f} s, "
           f"{'whole' if whole else 'its connection ended without the end of the answer'}")
    if " 503 " in status + " ":
        return True  # refused, which the rule allows
    # No disruption, the server at work until its connection was closed, the deadline not reached.
    return whole


main(case, FOLDER)
