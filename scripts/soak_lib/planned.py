"""Planned work, one after the other and at the same time: stops, reloads, changes of the configuration, and silences
of sound servers. None of it may take an answer from a caller."""

import os
import random
import signal
import time

from soak_lib.constants import GRACE_S, RELEASE_S, SHORTEST_IDLE_LIMIT_S

# Time from the opening of the connections that rest through a stop until the stop.
WARM_UP_S = 0.7
# Requests on old connections of a stopping node, as offsets from SIGTERM. Rare ones: the first about the time for which
# callers may still know the node, then with gaps about the quiet time after which a node may take itself for idle. Dense
# ones keep the node at work until its grace period is over.
FIRST_RARE_S, RARE_GAP_S = (3.2, 4.2), (1.1, 1.6)
FIRST_DENSE_S, DENSE_GAP_S = (0.5, 1), (0.1, 0.5)
# Close together, at the time at which the last callers leave the node: three times the lifetime of a directory answer.
FIRST_LEAVING_S, LEAVING_GAP_S, LAST_LEAVING_S = (4.3, 4.7), (0.005, 0.06), 5.6
# Time after its start for which SIGTERM may end a node at once, since it does not serve yet.
START_S = 2
# How long a sound server may be silent.
SILENCE_S = (0.8, 1.6)
# Gaps between the silences of a series: a request of 5 s may meet two of them.
SILENCE_GAP_S, SILENCES_IN_SERIES = (0.8, 1.5), 2
# Time limits of routes and idle limits that changes of the configuration choose. Requests have a deadline of their own.
ROUTE_TIMEOUTS_MS, IDLE_LIMITS_MS = [5_000, 6_000, 9_000], [1_000 * SHORTEST_IDLE_LIMIT_S, 30_000, 60_000]
# Kinds of planned work and how often each one comes in one round.
PLANNED_WORK = {"stop": 4, "stop twice": 1, "stop after reload": 1, "stop in start": 1, "stop two": 1, "stop all": 1,
                "reload": 1, "reload changed": 2, "configure": 2, "configure limits": 2, "silence": 4,
                "silence series": 1}
# Time between the beginnings of planned work, so that some of it overlaps: alone, and beside faults.
PLANNED_GAP_S, PLANNED_GAP_BESIDE_FAULTS_S = (0.1, 2.0), (1, 4)
# Answers on old connections of stopping nodes without which a planned run has shown nothing, and the same for its share of
# requests that were served.
MIN_STOPPING_ANSWERS, MIN_SERVED_SHARE = 10, 0.5


class PlannedWork:
    """Does planned work."""

    def release_one_server(self):
        """Gives one server a software version of its own, so that no other may go on with its streams."""
        self.set_fault(release=[0], release_version="v2")
        time.sleep(RELEASE_S)
        self.server_versions[0] = "v2"

    def planned_rounds(self):
        """Yields kinds of planned work: all of them in each round, in random order."""
        while True:
            kinds = [kind for kind, times in PLANNED_WORK.items() for _ in range(times)]
            self.planned_random.shuffle(kinds)
            yield from kinds

    def run_planned(self, gap_s):
        until = time.monotonic() + self.arguments.seconds
        for kind in self.planned_rounds():
            if time.monotonic() > until:
                return
            self.begin_planned(kind)
            time.sleep(self.planned_random.uniform(*gap_s))

    def begin_planned(self, kind):
        """Begins a piece of planned work beside whatever goes on."""
        with self.lock:
            self.planned_begun += 1
            number = self.planned_begun
        self.count(f"planned {kind}")
        rng = random.Random(f"{self.arguments.seed}/planned/{number}")
        self.planned_threads.append(self.spawn(self.do_planned, kind, rng, f"stop-{number}"))

    def do_planned(self, kind, rng, name):
        node = rng.choice(self.nodes)
        if kind == "stop":
            self.stop_node(node, rng, name)
        elif kind == "stop twice":
            self.stop_node(node, rng, name)
            time.sleep(rng.uniform(0.01, 2))
            self.terminate(node)
        elif kind == "stop after reload":
            self.reload(node)
            time.sleep(rng.uniform(0, 0.05))
            self.stop_node(node, rng, name)
        elif kind == "stop in start":
            self.stop_in_start(node, rng)
        elif kind == "stop two":
            others = [other for other in self.nodes if other is not node]
            self.stop_node(node, rng, name)
            self.terminate(rng.choice(others))
        elif kind == "stop all":
            for other in self.nodes:
                self.terminate(other)
                time.sleep(rng.uniform(0, 0.05))
        elif kind == "reload":
            self.reload(node)
        elif kind == "reload changed":
            self.change_settings(node, rng)
            self.reload(node)
        elif kind == "configure":
            self.configure()
        elif kind == "configure limits":
            self.configure(timeout_ms=rng.choice(ROUTE_TIMEOUTS_MS), idle_timeout_ms=rng.choice(IDLE_LIMITS_MS))
        elif kind == "silence":
            self.silence(rng)
        elif kind == "silence series":
            for _ in range(SILENCES_IN_SERIES):
                time.sleep(self.silence(rng) + rng.uniform(*SILENCE_GAP_S))

    def stop_node(self, node, rng, name):
        """Stops a node. Connections that were opened before are used while it stops."""
        offsets_s = rng.choice([
            self.offsets(rng, FIRST_RARE_S, RARE_GAP_S, GRACE_S),
            self.offsets(rng, FIRST_DENSE_S, DENSE_GAP_S, GRACE_S),
            self.offsets(rng, FIRST_LEAVING_S, LEAVING_GAP_S, LAST_LEAVING_S),
        ])
        tell = self.rest_until_stop(node, offsets_s, name)
        time.sleep(WARM_UP_S)
        self.terminate(node)
        tell()

    def offsets(self, rng, first_s, gap_s, last_s):
        """Times within a stop."""
        offset_s, offsets_s = rng.uniform(*first_s), []
        while offset_s < last_s:
            offsets_s.append(offset_s)
            offset_s += rng.uniform(*gap_s)
        return offsets_s

    def stop_in_start(self, node, rng):
        self.terminate(node)
        process = node.process
        while node.process is process:
            if self.stopping.wait(0.02):
                return
        time.sleep(rng.uniform(0, START_S / 4))
        self.terminate(node)

    def terminate(self, node):
        now = time.time()
        node.stop_times.append(now)
        if now < node.started_at + START_S:
            node.stopped_in_start = True
        self.note_event("SIGTERM", node)
        node.signal(signal.SIGTERM)

    def reload(self, node):
        self.note_event("SIGHUP", node)
        # SIGHUP ends a process that does not handle it yet.
        if time.time() > node.started_at + START_S:
            node.signal(signal.SIGHUP)

    def change_settings(self, node, rng):
        """Replaces the settings file: only touched, or with another value."""
        if rng.random() < 0.5:
            os.utime(node.settings)
            return
        text = node.settings.read_text().replace("status_s = 120", f"status_s = {rng.randint(100, 140)}")
        replacement = node.settings.with_suffix(f".{rng.getrandbits(32):08x}")
        replacement.write_text(text)
        replacement.replace(node.settings)

    def configure(self, **limits):
        """Writes a new version of the configuration."""
        with self.configuring:
            self.version += 3
            revoked = [] if self.revoked_since is None else ["calm-2"]
            self.note_event("configuration", None)
            self.set_fault(version=self.version, revoked=revoked, **limits)

    def silence(self, rng):
        """Silences up to half of the servers; returns the duration. None that was silent a moment ago, so that no silence is
        longer than its bound, and none that is being replaced: silent at the end of its drain, it would have to cut what it
        runs."""
        with self.lock:
            rested_since = time.time() - SILENCE_GAP_S[0]
            sound = [number for number, version in enumerate(self.server_versions)
                     if version is not None and self.silent_until[number] < rested_since]
            silent = rng.sample(sound, min(len(sound), rng.randint(1, max(1, self.arguments.servers // 2))))
            duration_s = rng.uniform(*SILENCE_S)
            for number in silent:
                self.silent_until[number] = max(self.silent_until[number], time.time() + duration_s)
            self.note_event("silence", None)
            self.set_fault(silent=silent, silent_s=duration_s)
        return duration_s

    def wait_for_planned(self):
        for thread in self.planned_threads:
            thread.join(20)

    def check_planned(self):
        """Checks that a planned run has shown what it is for, and that no request failed in it."""
        for request, kind, node, sent_at, _, status, body in self.failed:
            promise = self.broken_promise(request, node) or "planned work fails no request"
            self.record_violation(promise, f"{request} ({kind}) at {node.name}: {status} "
                                  f"{body[:100]!r}; {self.events_before(node, sent_at)}")
        answers = self.counts["answers of stopping nodes on old connections"]
        if answers < MIN_STOPPING_ANSWERS:
            self.record_violation("the run shows what it is for", f"{answers} answers on old connections of stopping nodes")
        streams = {name: count for name, count in self.counts.items() if name.startswith(("kept chat ", "kept order "))}
        served = sum(count for name, count in streams.items() if name.endswith(" 200"))
        if served < MIN_SERVED_SHARE * sum(streams.values()):
            self.record_violation("the run shows what it is for", f"{served} of {sum(streams.values())} requests served")
