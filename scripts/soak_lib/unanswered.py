"""Checks of requests without an answer."""

import json
import time

from soak_lib.constants import DEADLINE_S

# A request may cross a close: it reaches the node while the node closes the connection. It breaks at once then; this is
# the time for a FIN or RST to come back to a caller on a busy machine.
CROSSING_MS = 200
# A stop closes its connections once, in one moment, so that a request crosses a close at one of its connections at most.
MAX_CROSSED_PER_STOP = 1
# Time before the deadline from which a cut counts as one at the deadline.
DEADLINE_TOLERANCE_S = 0.2


class UnansweredChecks:
    """Checks that each request got an answer."""

    def check_unanswered(self, crashes, runs):
        crossed = 0
        for unanswered in self.unanswered:
            explanation = self.explain_unanswered(unanswered, crashes)
            if explanation is not None:
                self.count(f"kept {unanswered.kind} without an answer, {explanation}")
                continue
            begun = self.runs_of(unanswered, runs)
            if self.crossed_close(unanswered, begun):
                crossed += 1
                self.log_unanswered("crossed a close", unanswered, begun)
                continue
            promise = self.broken_promise(unanswered.request, unanswered.node) or "each request gets an answer"
            self.record_violation(promise, self.log_unanswered("violation", unanswered, begun))
        stops = sum(len(node.stop_times) for node in self.nodes)
        self.counts["requests that crossed a close, not run"] = crossed
        self.counts["planned stops"] = stops
        if crossed > MAX_CROSSED_PER_STOP * stops:
            self.record_violation("each request gets an answer", f"{crossed} crossed a close in {stops} stops")

    def explain_unanswered(self, unanswered, crashes):
        node, since, until = unanswered.node, unanswered.sent_at, unanswered.ended_at
        if node.had_fault_between(since, until):
            return "fault of the node"
        if unanswered.kind in ("job", "results"):
            late = "timed out" in unanswered.error
            return "store fault" if late and self.had_store_fault(since, until) else None
        if unanswered.kind == "order" and any(begun < until and since < end + 0.5 for begun, end in self.outages):
            return "cut by an unavailable server"
        if unanswered.status == 200 and DEADLINE_S - DEADLINE_TOLERANCE_S < until - since < DEADLINE_S + 1:
            return "cut at the deadline"
        promise, cause = self.explain_cut(unanswered.request, unanswered.kind, node, since, until, crashes)
        return cause if promise is None else None

    def crossed_close(self, unanswered, begun):
        broke_ms = 1000 * (unanswered.ended_at - unanswered.sent_at)
        return (not begun and unanswered.status is None and broke_ms <= CROSSING_MS
                and "timed out" not in unanswered.error and self.met_closing(unanswered))

    def met_closing(self, unanswered):
        """Whether a request was sent while its node closed its connections, give or take the time of a crossing."""
        slack_s = CROSSING_MS / 1000
        closings = unanswered.node.closings()
        return any(closing_at - slack_s <= unanswered.sent_at <= closed_at + slack_s for closing_at, closed_at in closings)

    def runs_of(self, unanswered, runs):
        """Number of runs that a request has begun; for a submission also whether the job was accepted."""
        if unanswered.kind == "results":
            return 0
        if unanswered.kind != "job":
            return runs.get(unanswered.request, {"begun": 0})["begun"]
        begun = sum(run["begun"] for item, run in runs.items() if item.startswith(f"{unanswered.request}-"))
        is_accepted = any(self.results(unanswered.request, node) is not None for node in self.nodes)
        return begun + is_accepted

    def log_unanswered(self, verdict, unanswered, begun):
        """Writes the record of a request without an answer; returns it as text."""
        node, sent_at = unanswered.node, unanswered.sent_at
        record = {"verdict": verdict, "request": unanswered.request, "kind": unanswered.kind, "node": node.name,
                  "sent_ms": int(1000 * sent_at), "broke_after_ms": round(1000 * (unanswered.ended_at - sent_at), 1),
                  "status": unanswered.status, "error": unanswered.error, "begun": begun,
                  "requests_before": unanswered.requests_before} | self.events_before(node, sent_at)
        with open(self.output_dir / "unanswered.log", "a") as log:
            print(json.dumps(record), file=log)
        return json.dumps(record)

    def note_event(self, kind, node):
        self.events.append((time.time(), kind, node))

    def events_before(self, node, at):
        """Milliseconds since the last planned work of each kind that concerns a node, and since its stop was first asked
        for."""
        last, stop_asked_at = {}, node.stop_asked_at(at)
        if stop_asked_at is not None:
            last["ms_after_stop"] = int(1000 * (at - stop_asked_at))
        for event_at, kind, event_node in list(self.events):
            if event_at <= at and event_node in (None, node):
                last[f"ms_after_{kind}"] = int(1000 * (at - event_at))
        return last
