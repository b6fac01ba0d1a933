"""Faulty servers, and the watch for whatever runs or is told twice."""

import json
import random
import time

# Answers that belong to no request, in the place of the next answer on a connection.
STRAY_ANSWERS = ["stray_refusal", "stray_refusal", "stray_misdirection", "stray_failure"]
# Answers that never end, or are lost after the server has run the request.
SPOILED_ANSWERS = ["endless_header", "endless_interim", "endless_event", "endless_events", "endless_trailers",
                   "endless_failure", "endless_stray", "lost_answer", "lost_answer", "lost_answer"]
# Share of the faults that spoil answers so, and of the requests that meet one.
SPOILED_FAULTS, SPOILED_SHARE = 0.4, 0.05
# Memory of the smallest machine that a node runs on.
MAX_NODE_MB = 120
# How long servers are faulty, the time between such faults, and the share of the requests that meet one.
FAULTY_S, FAULTY_GAP_S, STRAY_SHARE = (0.5, 2), (0.3, 2), 0.3
# Interval between looks at the record of the model servers.
WATCH_INTERVAL_S = 0.5
# A node that was paused or killed this long before a run began did not know that it had gone on elsewhere.
OUT_OF_TOUCH_S = 4


class FaultyServers:
    """Makes servers faulty, and watches for requests and results that come twice."""

    def spoil_servers(self):
        """Makes up to a third of the servers faulty, again and again. Beside planned work alone they send only what must take
        no answer from a caller: strays."""
        rng = random.Random(f"{self.arguments.seed}/faulty")
        count = self.arguments.servers
        while not self.stop_spoiling.wait(rng.uniform(*FAULTY_GAP_S)):
            servers = rng.sample(range(count), rng.randint(1, max(1, count // 3)))
            is_spoiled = rng.random() < SPOILED_FAULTS and not self.arguments.planned
            kinds, share = (SPOILED_ANSWERS, SPOILED_SHARE) if is_spoiled else (STRAY_ANSWERS, STRAY_SHARE)
            kind = rng.choice(kinds)
            self.count(f"faulty servers, {kind}")
            self.set_fault(faulty=servers, faulty_bytes=kind, faulty_share=share, faulty_s=rng.uniform(*FAULTY_S))

    def watch(self):
        """Looks for requests that ran twice, and at the memory of the nodes, while the run goes on."""
        while not self.stopping.wait(WATCH_INTERVAL_S):
            self.check_double_runs()
            self.check_memory()

    def check_memory(self):
        for node in self.nodes:
            peak_mb = node.peak_memory_mb()
            with self.lock:
                self.counts["peak memory of a node, MB"] = max(self.counts["peak memory of a node, MB"], peak_mb)
            if peak_mb > MAX_NODE_MB and node.name not in self.nodes_over_memory:
                self.nodes_over_memory.add(node.name)
                self.record_violation("a node keeps within its memory", f"{node.name}: {peak_mb} MB")

    def check_double_runs(self):
        answer = self.control("GET", "/double-runs")
        if answer is None:
            return
        with self.lock:
            double_runs = json.loads(answer)[self.double_runs_seen:]
            self.double_runs_seen += len(double_runs)
        for double_run in double_runs:
            self.note_double_run(double_run)

    def note_double_run(self, double_run):
        """Records a request that ran twice, unless it went on elsewhere since its node was out of touch."""
        is_repeated = double_run["kind"] == "repeated"
        if not is_repeated and self.was_out_of_touch(double_run["request"], double_run["at_ms"] / 1000):
            self.count("runs that went on at a node out of touch")
            return
        promise = "at most once" if is_repeated else "a run has ended where it is left"
        self.record_violation(promise, json.dumps(double_run))

    def was_out_of_touch(self, request, at):
        """Whether a node that may have sent a request was disturbed shortly before. The node of an item is unknown."""
        sender = self.node_by_request.get(request)
        senders = [sender] if sender else self.nodes
        return any(at - OUT_OF_TOUCH_S < fault_at < at + 1 for node in senders for fault_at in list(node.fault_times))

    def note_results(self, job, first, results, where):
        """Compares results that were read with those read before at the same positions, at whatever node."""
        now = time.time()
        with self.lock:
            known = self.known_results.setdefault(job, {})
            positions = self.item_positions.setdefault(job, {})
            differing = []
            for position, result in enumerate(results, first):
                told = (result["id"], result["state"], result["text"])
                if known.setdefault(position, told) != told:
                    differing.append(f"position {position} held {known[position][:2]}, holds {told[:2]}")
                if positions.setdefault(result["id"], position) != position:
                    differing.append(f"{result['id']} stands at {positions[result['id']]} and {position}")
        for difference in differing:
            self.record_violation("a position keeps its result", f"{job} at {where}, {int(1000 * now)} ms: {difference}")
