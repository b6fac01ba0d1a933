"""Callers that leave streams half way and resume them."""

import http.client
import json
import random
import time

from soak_lib.constants import (
    DEADLINE_S, EVENTS_PER_STREAM, FINAL_ERRORS, FRONT_PORT, HOST, MAX_RESUMPTIONS, MIN_RESUMED_RATIO,
    MIN_RESUMPTIONS, NOT_RUN_STATUSES,
)
from soak_lib.events import parse_events


class ResumingCallers:
    """Resumes streams at other nodes and checks that they go on."""

    def resume_streams(self, number):
        rng = random.Random(f"{self.arguments.seed}/resume/{number}")
        sent = 0
        while not self.stopping.wait(0.02):
            sent += 1
            self.resume_stream(f"resume-{number}-{sent}", rng)

    def resume_stream(self, request, rng):
        """Begins a stream, leaves it half way and resumes it, each time at another node."""
        events, expected, first_attempt = [], [], None
        for at in range(MAX_RESUMPTIONS + 1):
            node = self.pick_node(rng)
            if node is None:
                return
            attempt = f"{request}~{at}"
            headers = {"Host": HOST, "X-Dappleyard-Request-Id": attempt, "Authorization": "Token calm-1",
                       "X-Dappleyard-Deadline-Ms": str(int(1000 * DEADLINE_S))}
            if events:
                headers |= {"Last-Event-Id": str(len(events)), "Resumes": first_attempt}
            most = None if at == MAX_RESUMPTIONS else rng.randint(2, 12)
            self.node_by_request[attempt] = node
            begun = time.time()
            status, found, error, retry_after = self.read_events(node, attempt, headers, most)
            self.note_begun(node, "resumed" if events else "new", status, error, events, begun)
            if status in NOT_RUN_STATUSES:
                self.refused_ids.add(attempt)
                left_s = DEADLINE_S - (time.time() - begun)
                if retry_after is None and error not in FINAL_ERRORS and not self.return_is_useless(error, left_s):
                    self.record_violation("a refusal names a time to come back", f"{attempt} at {node.name}: {error}")
            if status != 200:
                return
            if found and not events:
                first_attempt = attempt
            expected += [f"{attempt}-{n}" for n in range(len(events) + 1, len(events) + len(found) + 1)]
            events += found
            self.check_events(f"{request} at {node.name}", events, expected)
            if len(events) == EVENTS_PER_STREAM:
                self.count("resumed streams completed")
                return

    def note_begun(self, node, kind, status, error, events, begun):
        """Counts whether a stream began or went on, at nodes without a recent fault."""
        if kind == "resumed":
            self.count(f"resumption {status} {error or ''}".strip())
        if node.had_fault_near(begun) or status is None:
            return
        version = events[-1][2] if events else None
        serving = sum(1 for serving in list(self.server_versions) if serving == version)
        if kind == "new" or serving >= 2:
            self.begun_at_calm_nodes[kind].append(status == 200)

    def read_events(self, node, attempt, headers, most):
        """Reads the complete events of a stream until it ends or breaks, or until `most` of them were read."""
        connection = http.client.HTTPConnection(node.ip, FRONT_PORT, timeout=6)
        status, text, error, retry_after = None, "", None, None
        try:
            connection.request("POST", "/chat/x", b"{}", headers)
            response = connection.getresponse()
            status, retry_after = response.status, response.headers.get("Retry-After")
            if status != 200:
                error = json.loads(response.read()).get("error")
                return status, [], error, retry_after
            while most is None or len(parse_events(text)) < most:
                line = response.readline()
                if not line:
                    break
                text += line.decode()
        except (OSError, http.client.HTTPException, ValueError):
            self.count("streams broken while they were read")
        finally:
            connection.close()
        return status, parse_events(text), error, retry_after

    def check_resumptions(self):
        """Checks that streams are resumed about as often as new ones begin, while two servers of their version serve."""
        new, resumed = self.begun_at_calm_nodes["new"], self.begun_at_calm_nodes["resumed"]
        shares = [sum(kind) / max(len(kind), 1) for kind in (new, resumed)]
        self.counts["streams begun at calm nodes, per thousand"] = int(1000 * shares[0])
        self.counts["streams resumed at calm nodes, per thousand"] = int(1000 * shares[1])
        self.counts["resumptions at calm nodes"] = len(resumed)
        if len(resumed) >= MIN_RESUMPTIONS and shares[1] < MIN_RESUMED_RATIO * shares[0]:
            self.record_violation("resumed streams go on", f"{sum(resumed)} of {len(resumed)}; {sum(new)} of {len(new)} new ones began")
