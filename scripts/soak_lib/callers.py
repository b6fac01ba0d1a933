"""Callers that open a connection for each call."""

import json
import random
import time

from soak_lib.constants import (
    DEADLINE_S, EVENTS_PER_STREAM, FRONT_PORT, HOST, LOAD_SHEDDING_ERRORS, MAX_RETRY_DELAY_FRACTION, NOT_RUN_STATUSES,
    RECOVERY_BOUND_S, REVOCATION_BOUND_S, USELESS_RETURN_S,
)
from soak_lib.events import parse_events


class Callers:
    """Sends requests and checks the answers."""

    def send_streams(self, number):
        rng = random.Random(f"{self.arguments.seed}/{number}")
        sent = 0
        while not self.stopping.is_set():
            sent += 1
            kind = rng.choice(["chat", "chat", "order"])
            request = f"{kind}-{number}-{sent}"
            node = self.pick_node(rng)
            if node is None:
                time.sleep(0.1)
                continue
            self.send(kind, request, node, "calm-1")

    def send_over_quota(self, number):
        """Sends several times the quota of a tenant."""
        rng = random.Random(f"{self.arguments.seed}/greedy/{number}")
        sent = 0
        while not self.stopping.wait(0.1):
            sent += 1
            node = self.pick_node(rng)
            if node is not None:
                self.send("chat", f"greedy-{number}-{sent}", node, "greedy-1")

    def send_overload(self, number):
        """Sends requests as one of the additional callers during an overload."""
        rng = random.Random(f"{self.arguments.seed}/wave/{number}/{self.overload_until}")
        while time.time() < self.overload_until:
            node = self.pick_node(rng)
            if node is not None:
                self.send("chat", f"wave-{number}-{time.time_ns()}", node, "calm-1")

    def send_with_revocable_key(self):
        """Sends requests with an API key that is revoked and restored during the run."""
        rng = random.Random(f"{self.arguments.seed}/revoked")
        sent = 0
        while not self.stopping.wait(0.15):
            sent += 1
            node, since = self.pick_node(rng), self.revoked_since
            if node is None:
                continue
            begun, request = time.time(), f"second-{sent}"
            status = self.send("chat", request, node, "calm-2")
            is_revoked = since is not None and since == self.revoked_since and begun > since + REVOCATION_BOUND_S
            if is_revoked and status == 200 and not node.had_fault_near(begun):
                self.record_violation("a key taken away stops", f"{request} at {node.name}, "
                                      f"{begun - since:.1f} s after the revocation")

    def send(self, kind, request, node, api_key, budget_s=DEADLINE_S):
        headers = {"Host": HOST, "X-Dappleyard-Request-Id": request,
                   "X-Dappleyard-Deadline-Ms": str(int(1000 * budget_s)), "Authorization": f"Token {api_key}",
                   "X-Dappleyard-Tenant": "nobody"}
        if kind == "order":
            self.orders.add(request)
        self.node_by_request[request] = node
        begun = time.time()
        status, body, response_headers = self.call_with_headers(
            node.ip, FRONT_PORT, "POST", f"/{kind}/x", b"{}", headers
        )
        self.count(f"{kind} {status}")
        self.check_recovery(status, request, node, api_key, begun)
        if status == 200:
            expected = [f"{request}-{n}" for n in range(1, EVENTS_PER_STREAM + 1)]
            self.check_events(f"{request} at {node.name}", parse_events(body.decode()), expected)
        elif status in NOT_RUN_STATUSES:
            self.refused_ids.add(request)
        elif kind == "order" and status is None and self.had_outage_since(begun):
            self.count("order cut by an unavailable server")
        elif status is None and not node.had_fault_near(begun) and b"refused" not in body:
            self.truncated.append((request, kind, node, begun, time.time(), body.decode()))
        elif status == 401 and api_key != "calm-2":
            self.record_violation("a key that is held is known", f"{request} at {node.name}")
        if status not in (429, 503):
            return status
        budget_s -= time.time() - begun
        delay_s = self.retry_delay(request, node, body, response_headers, budget_s)
        budget_s -= delay_s
        retries = self.sheds_load and api_key == "calm-1" and delay_s <= DEADLINE_S * MAX_RETRY_DELAY_FRACTION
        if not retries or request.endswith("-again") or self.stopping.wait(delay_s):
            return status
        return self.send(kind, f"{request}-again", node, api_key, budget_s)

    def check_events(self, where, events, expected):
        """Checks that a stream has the expected data, written by servers of one software version."""
        if [event[0] for event in events] != list(range(1, len(expected) + 1)) or [event[1] for event in events] != expected:
            self.record_violation("whole answer", f"{where}: {len(events)} events")
        versions = sorted({version for _, _, version in events})
        if len(versions) > 1:
            self.record_violation("a text holds one software version's events", f"{where}: {versions}")

    def retry_delay(self, request, node, body, response_headers, left_s=DEADLINE_S):
        """Returns the delay that a refusal advertises, to a caller with `left_s` to its deadline."""
        retry_after = response_headers.get("Retry-After")
        try:
            error = json.loads(body)["error"]
        except (ValueError, KeyError):
            error = "no kind"
        self.count(f"refused, {error}")
        if error in LOAD_SHEDDING_ERRORS and not self.sheds_load:
            self.record_violation("load is shed where settings ask for it", f"{request} at {node.name}: {error}")
        if retry_after is None and self.return_is_useless(error, left_s):
            return DEADLINE_S
        try:
            return max(float(retry_after), 0.01)
        except (TypeError, ValueError):
            self.record_violation("a refusal names a time to come back",
                                  f"{request} at {node.name}: {error}, {retry_after}")
            return DEADLINE_S

    def return_is_useless(self, error, left_s):
        """Whether a refusal may name no time to come back, since the caller's deadline is too near."""
        return error == "deadline_too_near" and left_s < USELESS_RETURN_S

    def check_recovery(self, status, request, node, api_key, begun):
        """Checks that requests are served after the last fault."""
        if (api_key != "calm-1" or self.servers_restored_at is None
                or begun < self.servers_restored_at + RECOVERY_BOUND_S):
            return
        if status == 200:
            self.served_after_recovery += 1
        elif status is not None:
            self.record_violation("served once servers are back", f"{request} at {node.name}: {status}, "
                                  f"{begun - self.servers_restored_at:.1f} s after the servers were back")
