"""Callers that keep connections: they send many requests on one, rest between them, and use it until its node is gone."""

import base64
import dataclasses
import json
import random
import threading
import time

from soak_lib.connection import KeptConnection
from soak_lib.constants import (
    DEADLINE_S, EVENTS_PER_STREAM, FAILED_STATUSES, FRONT_PORT, HOST, NOT_RUN_STATUSES, READ_HEADERS,
)
from soak_lib.events import parse_events

# Rests between requests, from and to; a caller has one kind. The longest outlast a whole stop.
RESTS_S = [(0, 0.02), (0, 0.3), (0.2, 2), (1, 4), (3, 5), (8.2, 10)]
JOB_RESTS_S = [(0, 0.5), (0.2, 3), (3, 10)]
# A rest takes at most this share of the idle limit.
MAX_REST_SHARE = 0.8
KEPT_CALLERS, KEPT_JOB_CALLERS = 12, 3
READS_PER_JOB = 4
# Callers that follow the directory ask it again after its answer's lifetime.
DIRECTORY_LIFETIME_S = 1.5
# Longest wait of a refused caller before it goes on.
MAX_REFUSED_WAIT_S = 1


@dataclasses.dataclass
class Unanswered:
    """A request that was sent whole and got neither a whole answer nor a refusal."""

    request: str
    kind: str
    node: object
    sent_at: float
    ended_at: float
    status: int | None
    error: str
    requests_before: int  # on the same connection


class KeptCallers:
    """Sends requests on kept connections and records those without an answer."""

    def keep_connection(self, number):
        rng = random.Random(f"{self.arguments.seed}/kept/{number}")
        for sent, connection in enumerate(self.used_connections(rng, number, RESTS_S)):
            kind = rng.choice(["chat", "chat", "order"])
            self.send_kept(connection, kind, f"kept-{number}-{sent}")

    def keep_connection_for_jobs(self, number):
        rng = random.Random(f"{self.arguments.seed}/kept-jobs/{number}")
        job, reads = None, 0
        for sent, connection in enumerate(self.used_connections(rng, number, JOB_RESTS_S)):
            if job is not None and reads < READS_PER_JOB:
                reads += 1
                self.read_kept(connection, job)
            else:
                job, reads = self.submit_kept(connection, f"kept-job-{number}-{sent}", rng.randint(1, 5)), 0

    def used_connections(self, rng, number, rests_s):
        """Yields a connection that may be used each time the caller has rested, until the run ends."""
        rest_s, follows_directory = rests_s[number % len(rests_s)], number % 2 == 0
        connection, resolved_at = None, 0
        while not self.stopping.is_set():
            if connection is None or not connection.is_open:
                connection, resolved_at = self.open_connection(rng), time.time()
                if connection is None:
                    self.stopping.wait(0.1)
                    continue
            longest = MAX_REST_SHARE * connection.idle_limit_s
            if self.stopping.wait(min(rng.uniform(*rest_s), longest)):
                break
            if follows_directory and time.time() > resolved_at + DIRECTORY_LIFETIME_S:
                addresses, resolved_at = self.resolve_host(rng), time.time()
                if addresses and f"{connection.node.ip}:{FRONT_PORT}" not in addresses:
                    self.count("kept connections left: node no longer in the directory")
                    connection.close()
                    continue
            if self.is_usable(connection):
                yield connection
        if connection is not None:
            connection.close()

    def open_connection(self, rng):
        node = self.pick_node(rng)
        try:
            return None if node is None else KeptConnection(node)
        except OSError:
            self.count("kept connections not opened")
            return None

    def is_usable(self, connection):
        """Closes a connection that the node has closed."""
        if connection.is_open and connection.is_stale():
            self.count("kept connections closed by the node while they rested")
            connection.close()
        return connection.is_open

    def kept_headers(self, request):
        return {"Host": HOST, "X-Dappleyard-Request-Id": request, "Authorization": "Token calm-1",
                "X-Dappleyard-Deadline-Ms": str(int(1000 * DEADLINE_S))}

    def send_kept(self, connection, kind, request):
        if kind == "order":
            self.orders.add(request)
        self.node_by_request[request] = connection.node
        exchange = connection.exchange("POST", f"/{kind}/x", self.kept_headers(request), b"{}")
        self.note_exchange(connection, kind, request, exchange)
        if exchange.is_answered() and exchange.status == 200:
            expected = [f"{request}-{n}" for n in range(1, EVENTS_PER_STREAM + 1)]
            self.check_events(f"{request} at {connection.node.name}", parse_events(exchange.body.decode()), expected)

    def submit_kept(self, connection, job, size):
        """Submits a job; returns its name if it was accepted."""
        items = [{"id": f"{job}-{at}", "path": f"/jobs/{at}", "headers": {},
                  "body": base64.b64encode(b"work").decode(), "tokens": 100} for at in range(size)]
        headers = self.kept_headers(job) | {"Content-Type": "application/json"}
        exchange = connection.exchange("POST", "/jobs/x", headers, json.dumps({"items": items}).encode())
        self.note_exchange(connection, "job", job, exchange)
        if exchange.status == 202:
            self.jobs[job] = [item["id"] for item in items]
        elif exchange.is_answered() and exchange.status in NOT_RUN_STATUSES:
            self.refused_ids.update(item["id"] for item in items)
        return job if exchange.status == 202 else None

    def read_kept(self, connection, job):
        exchange = connection.exchange("GET", f"/v1/lots/{job}?after_rev=0", READ_HEADERS)
        self.note_exchange(connection, "results", job, exchange)
        if exchange.is_answered() and exchange.status == 200:
            self.note_results(job, 0, json.loads(exchange.body)["results"], connection.node.name)

    def note_exchange(self, connection, kind, request, exchange):
        node = connection.node
        if exchange.sent_at is None:
            self.count("kept connections closed as a request was sent")
            return
        if not exchange.is_answered():
            unanswered = Unanswered(request, kind, node, exchange.sent_at, exchange.ended_at, exchange.status,
                                    exchange.error, connection.requests - 1)
            with self.lock:
                self.unanswered.append(unanswered)
            return
        self.count(f"kept {kind} {exchange.status}")
        if connection.requests > 1 and node.is_stopping(exchange.sent_at):
            self.count("answers of stopping nodes on old connections")
        if exchange.status in FAILED_STATUSES:
            with self.lock:
                self.failed.append((request, kind, node, exchange.sent_at, exchange.ended_at, exchange.status,
                                    exchange.body))
        if exchange.status in NOT_RUN_STATUSES and kind in ("chat", "order"):
            self.refused_ids.add(request)
        if exchange.status in (429, 503):
            delay_s = self.retry_delay(request, node, exchange.body, exchange.headers,
                                       DEADLINE_S - (exchange.ended_at - exchange.sent_at))
            self.stopping.wait(min(delay_s, MAX_REFUSED_WAIT_S))

    # --- requests at chosen times of a stop

    def rest_until_stop(self, node, offsets_s, name):
        """Opens a connection for each offset. Returns a function that tells their callers when the stop was asked for; each
        sends a request that long after it, unless the node has closed its connection by then."""
        asked, asked_at = threading.Event(), []

        def rest(number, offset_s):
            try:
                connection = KeptConnection(node)
            except OSError:
                return
            # A first request, so that the connection counts as used.
            self.read_kept(connection, "absent")
            if asked.wait(10):
                time.sleep(max(0, asked_at[0] + offset_s - time.time()))
                if self.is_usable(connection):
                    self.count("requests at chosen times of a stop")
                    self.send_kept(connection, "order" if number % 2 else "chat", f"{name}-{number}")
            connection.close()

        def tell():
            asked_at.append(time.time())
            asked.set()

        for number, offset_s in enumerate(offsets_s):
            self.spawn(rest, number, offset_s)
        return tell
