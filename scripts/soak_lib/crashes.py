"""Requests and prompt parts that crash servers."""

import json
import random
import time

from soak_lib.constants import (
    CALLS_PER_CRASHING_REQUEST, CONTACT_S, CRASH_PROPAGATION_MS, DEADLINE_S, EVENTS_PER_STREAM, FIRST_PART,
    FRONT_PORT, HOST, MAX_CRASHED_SERVERS, MAX_CRASHES_PER_CALL, MAX_LATE_PART_RUNS, MAX_PART_CRASHES, MIDDLE_PARTS,
    MIN_SOUND_RATIO, MIN_SOUND_REQUESTS, NOT_RUN_STATUSES, PART_LIFETIME_S, QUIET_BEFORE_PARTS_S,
)
from soak_lib.events import parse_events


class CrashingCallers:
    """Sends requests that crash servers and checks how many servers they crash."""

    def send_crashing_requests(self, number):
        """Repeats a request that crashes servers; the other caller sends the same bodies."""
        rng = random.Random(f"{self.arguments.seed}/crash/{number}")
        sent = 0
        while not self.stop_crashing.wait(rng.uniform(0.05, 0.5)):
            name = f"{self.arguments.seed}-{sent // CALLS_PER_CRASHING_REQUEST}"
            sent += 1
            node = self.pick_node(rng)
            if node is None:
                continue
            kind = rng.choice(["chat", "chat", "order"])
            headers = {"Host": HOST, "X-Dappleyard-Request-Id": f"crash-{number}-{sent}",
                       "X-Dappleyard-Deadline-Ms": "5000", "Authorization": "Token calm-1"}
            with self.lock:
                self.crashing_calls[f"{name}-{kind}"].append((node, time.time()))
            body = json.dumps({"crash": f"{name}-{kind}"}).encode()
            status, _ = self.call(node.ip, FRONT_PORT, "POST", f"/{kind}/x", body, headers)
            self.count(f"crashing {status}")

    def send_prompt_parts(self, number):
        """Sends requests of which no two are alike. Some have a prompt part that crashes servers; the others share the
        caller and the other parts with these."""
        rng = random.Random(f"{self.arguments.seed}/parts/{number}")
        sent, begun = 0, time.monotonic()
        while not self.stop_crashing.wait(rng.uniform(0.02, 0.2)):
            sent += 1
            node = self.pick_node(rng)
            if node is None:
                continue
            at_s = time.monotonic() - begun - QUIET_BEFORE_PARTS_S
            crashing = f"dead{self.arguments.seed:04x}{int(at_s // PART_LIFETIME_S):02x}"
            if at_s < 0 or rng.random() < 0.5:
                self.send_with_parts(f"parts-{number}-{sent}", node, rng.choice(MIDDLE_PARTS), None)
            else:
                self.send_with_parts(f"parts-{number}-{sent}", node, crashing, crashing)

    def send_with_parts(self, request, node, middle, crashing):
        headers = {"Host": HOST, "X-Dappleyard-Request-Id": request, "Authorization": "Token calm-1",
                   "X-Dappleyard-Deadline-Ms": str(int(1000 * DEADLINE_S)),
                   "X-Dappleyard-Prompt-Prefix": f"{FIRST_PART}:200,{middle}:100,{abs(hash(request)):x}:50"}
        self.node_by_request[request] = node
        begun = time.time()
        status, body = self.call(node.ip, FRONT_PORT, "POST", "/chat/x", json.dumps({"id": request}).encode(), headers)
        self.count(f"{'crashing part' if crashing else 'sound part'} {status}")
        if status in NOT_RUN_STATUSES:
            self.refused_ids.add(request)
        with self.lock:
            if crashing:
                self.part_requests[crashing].append((request, node, begun))
            elif not node.had_fault_near(begun) and not self.had_outage_since(begun):
                self.sound_part_requests.append((begun, status == 200))
        if not crashing and status == 200:
            expected = [f"{request}-{n}" for n in range(1, EVENTS_PER_STREAM + 1)]
            self.check_events(f"{request} at {node.name}", parse_events(body.decode()), expected)

    def check_crashes(self, crashes):
        """Checks that a request crashes at most three servers. Exempt are calls that started before the third crash was
        known to the node, and calls at nodes with a fault, which may have missed a crash or not reported it."""
        most = 0
        for name, crash_times in crashes.items():
            calls = self.crashing_calls[name]
            calls_at_faulty_nodes = sum(
                1 for node, at in calls if node.had_fault_near(at) or node.had_fault_near(at + 1)
            )
            most = max(most, len(crash_times) if calls_at_faulty_nodes == 0 else 0)
            third = sorted(crash_times)[min(len(crash_times), MAX_CRASHED_SERVERS) - 1]
            late = sum(1 for at in crash_times if at > third + CRASH_PROPAGATION_MS)
            if (len(crash_times) > MAX_CRASHED_SERVERS + MAX_CRASHES_PER_CALL * (1 + calls_at_faulty_nodes)
                    or late > MAX_CRASHES_PER_CALL * calls_at_faulty_nodes):
                self.record_violation("a crashing request takes no fourth server",
                                      f"{name}: {len(crash_times)} servers crashed in {len(calls)} calls, "
                                      f"{calls_at_faulty_nodes} at nodes with faults; {late} late")
        self.counts["requests that crashed servers"] = len(crashes)
        self.counts["servers that crashed"] = sum(map(len, crashes.values()))
        self.counts["most servers crashed by one request at nodes without faults"] = most

    def check_crashing_parts(self, crashes, runs):
        """Checks that few requests with a crashing part run once it has crashed servers, and that sound requests beside
        them begin. Runs sent by nodes with a fault shortly before do not count: they may have missed crashes."""
        most_crashed, most_late = 0, 0
        for part, requests in self.part_requests.items():
            crash_times = sorted(at / 1000 for at in crashes.get(part, []))
            most_crashed = max(most_crashed, len(crash_times))
            if not crash_times:
                continue
            known_at = crash_times[min(len(crash_times), MAX_PART_CRASHES) - 1]
            self.check_sound_requests(part, known_at + 2 * CONTACT_S, max(at for _, _, at in requests))
            if len(crash_times) < MAX_PART_CRASHES:
                continue
            late = sum(1 for request, node, _ in requests
                       for begin in runs.get(request, {"begins": []})["begins"]
                       if begin["at_ms"] / 1000 > known_at + CONTACT_S and not node.had_fault_before(begin["at_ms"] / 1000))
            most_late = max(most_late, late)
            if late > MAX_LATE_PART_RUNS:
                self.record_violation("a prompt part that crashes servers stays within its rule",
                                      f"{part}: {len(crash_times)} servers crashed; {late} runs began more than "
                                      f"{CONTACT_S} s after the fifth crash")
        self.counts["prompt parts that crashed servers"] = sum(1 for part in self.part_requests if crashes.get(part))
        self.counts["most servers crashed by one prompt part"] = most_crashed
        self.counts["most late runs with one crashing prompt part"] = most_late

    def check_sound_requests(self, part, since, until):
        """Checks that sound requests begin at least half as often while requests with a known crashing part come as at
        other calm times."""
        beside = [begun for at, begun in self.sound_part_requests if since < at < until]
        first = min(at for requests in self.part_requests.values() for _, _, at in requests)
        before = [begun for at, begun in self.sound_part_requests if at < first]
        self.counts["sound requests beside known crashing parts"] += len(beside)
        self.counts["of these, begun"] += sum(beside)
        if min(len(before), len(beside)) < MIN_SOUND_REQUESTS:
            return
        shares = [sum(kind) / len(kind) for kind in (before, beside)]
        if shares[1] < MIN_SOUND_RATIO * shares[0]:
            self.record_violation("sound requests beside a crashing part begin",
                                  f"{part}: {sum(beside)} of {len(beside)}; {sum(before)} of {len(before)} before")
