"""Checks of a whole run against the record of the model servers."""

import collections
import json
import time

from soak_lib.constants import (
    COLD_OVER, COLD_REQUESTS_PER_S, COLD_SLACK, EVACUATION_BOUND_MS, JOBS_TIMEOUT_S, MAX_CRASHES_PER_CALL,
    QUOTA_BURST, QUOTA_OVER, QUOTA_PER_S, QUOTA_SLACK, QUOTA_WINDOW_S,
)


class Checks:
    """Checks after a run."""

    def check(self):
        if self.servers_restored_at is not None and self.served_after_recovery == 0:
            self.record_violation("served once servers are back", "no request was served after recovery")
        self.counts["requests served after recovery"] = self.served_after_recovery
        pending = dict(self.jobs)
        until = time.monotonic() + JOBS_TIMEOUT_S
        while pending and time.monotonic() < until:
            pending = {job: items for job, items in pending.items() if not self.is_done(job, items)}
            time.sleep(0.2)
        for job in pending:
            self.record_violation("every item completes", f"{job}: {self.results(job, self.nodes[0])}")
        for job, items in self.jobs.items():
            pages = [self.results(job, node) for node in self.nodes]
            known = [page for page in pages if page is not None]
            if any(page != known[0] for page in known):
                self.record_violation("results stay readable and alike", job)
        self.check_double_runs()
        runs = self.runs = json.loads(self.control("GET", "/truth") or b"{}")
        for request in self.refused_ids:
            if runs.get(request, {"begun": 0})["begun"] > 0:
                self.record_violation("not run is true", f"{request}: {runs[request]}")
        for request in self.orders:
            if runs.get(request, {"begun": 0})["begun"] > 1:
                self.record_violation("at most once", f"{request}: {runs[request]}")

        crashes = json.loads(self.control("GET", "/crashes") or b"{}")
        crash_times = [at / 1000 for times in crashes.values() for at in times]
        self.check_truncated(crash_times)
        self.check_unanswered(crash_times, runs)
        self.check_crashes({name: times for name, times in crashes.items() if name not in self.part_requests})
        self.check_crashing_parts(crashes, runs)
        self.check_tenants(runs)
        self.check_zones(runs)
        self.check_cold(runs)
        self.check_resumptions()

    def check_truncated(self, crashes):
        """Checks that each cut response is explained by failed servers: one for an order, or as many as the attempts
        of a stream."""
        for request, kind, node, since, until, detail in self.truncated:
            promise, cause = self.explain_cut(request, kind, node, since, until, crashes)
            if promise is None:
                self.count(f"{kind} {cause}")
            else:
                self.record_violation(promise, f"{request} at {node.name}: {detail}; {self.events_before(node, since)}")

    def broken_promise(self, request, node):
        """The promise that a failed request breaks for which no fault is found: its last server was left for a silence, or
        the work that was planned took its answer."""
        with open(node.log_path) as log:
            ends = [line for line in log if f'"{request}"' in line and ('"stream_broke"' in line or '"attempt_failed"' in line)]
        return "a silence ends no answer" if ends and '"cause":"silent for' in ends[-1] else None

    def explain_cut(self, request, kind, node, since, until, crashes):
        """Returns the promise that a cut response breaks, or None and the failure of servers that explains it."""
        crashed = sum(1 for at in crashes if since - 0.1 < at < until + 0.1)
        spoiled = self.runs.get(request, {"spoiled": 0})["spoiled"]
        lost_servers = crashed + spoiled > 0 or any(begun < until and since < end + 0.5 for begun, end in self.outages)
        if spoiled > 0 and crashed + spoiled >= (1 if kind == "order" else MAX_CRASHES_PER_CALL):
            return None, "cut by faulty servers"
        if crashed >= (1 if kind == "order" else MAX_CRASHES_PER_CALL):
            return None, "cut by crashed servers"
        if lost_servers and self.log_has_cause(node, request, "server_failed"):
            return None, "cut, no server left"
        if lost_servers and self.log_has_cause(node, request, "servers_ended"):
            return "innocent requests are not blamed", None
        return self.broken_promise(request, node) or "planned stop", None

    def log_has_cause(self, node, request, cause):
        """Whether the node logged that it cut the response for `cause`."""
        with open(node.log_path) as log:
            lines = [line for line in log if f'"{request}"' in line and '"answer_cut"' in line]
        return any(f'"cause":"{cause}"' in line for line in lines)

    def check_zones(self, runs):
        """Checks that no request starts in an evacuated zone, except at nodes with a recent fault. The node that ran a
        job item is unknown, so a fault at any node exempts it."""
        latest = 0
        for request, run in runs.items():
            sender = self.node_by_request.get(request)
            senders = [sender] if sender else self.nodes
            for begin in run["begins"]:
                at = begin["at_ms"] / 1000
                delays = [at - since for zone, since, until in self.evacuations
                          if zone == begin["zone"] and since < at < until]
                if not delays or any(node.had_fault_before(at) for node in senders):
                    continue
                latest = max(latest, delays[0])
                if delays[0] <= EVACUATION_BOUND_MS / 1000:
                    continue
                name = sender.name if sender else "a node"
                self.record_violation("an evacuated zone gets nothing", f"{request} by {name} at "
                                      f"{begin['server']}, {begin['zone']}, {delays[0]:.2f} s after the evacuation")
        self.counts["latest start in a zone after its evacuation, ms"] = int(1000 * latest)

    def check_cold(self, runs):
        begins = collections.defaultdict(list)
        for run in runs.values():
            for begin in run["begins"]:
                if begin["cold"]:
                    begins[begin["server"]].append(begin["at_ms"])
        bound, highest = COLD_REQUESTS_PER_S * COLD_OVER + COLD_SLACK, 0
        for server, times in begins.items():
            most, since = max((sum(1 for at in times if begin <= at < begin + 1000), begin)
                              for begin in times)
            highest = max(highest, most)
            if most > bound:
                self.record_violation("cold servers are spared", f"{most} at {server} within 1 s from "
                                      f"{since} ms, {bound:.0f} allowed")
        self.counts["requests started at cold servers"] = sum(map(len, begins.values()))
        self.counts["most requests started at a cold server within 1 s"] = highest

    def check_tenants(self, runs):
        greedy = []
        # A record without a run is that of a lost refusal.
        for request, run in runs.items():
            if run["begun"] == 0:
                continue
            tenant = "greedy" if request.startswith("greedy-") else "calm"
            if run["tenants"] != [tenant]:
                self.record_violation("servers are told the tenant", f"{request}: {run['tenants']}")
            if run["key_seen"]:
                self.record_violation("no server sees a key", request)
            if tenant == "greedy":
                greedy += [begin["at_ms"] for begin in run["begins"][:1]]
        greedy.sort()
        bound = (QUOTA_PER_S * QUOTA_WINDOW_S + QUOTA_BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
        most = max((sum(1 for at in greedy if begin <= at < begin + 1000 * QUOTA_WINDOW_S)
                    for begin in greedy), default=0)
        self.counts["most requests of the greedy tenant within a quota window"] = most
        if most > bound:
            self.record_violation("quotas hold", f"{most} in {QUOTA_WINDOW_S} s, {bound:.0f} allowed")
