"""Callers of jobs."""

import base64
import json
import random
import threading
import time

from soak_lib.constants import EVENTS_PER_STREAM, FRONT_PORT, HOST, NOT_RUN_STATUSES, READ_HEADERS


class JobCallers:
    """Submits and cancels jobs and checks their results."""

    def submit_jobs(self, number):
        rng = random.Random(f"{self.arguments.seed}/jobs/{number}")
        sent = 0
        while not self.stopping.wait(rng.uniform(0.3, 1.2)):
            sent += 1
            job = f"job-{number}-{sent}"
            items = [{"id": f"{job}-{at}", "path": f"/jobs/{at}", "headers": {},
                      "body": base64.b64encode(b"work").decode(), "tokens": 100}
                     for at in range(rng.randint(1, 20))]
            accepted = self.submit_job(job, items, rng)
            if accepted and rng.random() < 0.15:
                self.cancel_job(job, rng)
            elif accepted:
                self.jobs[job] = [item["id"] for item in items]

    def submit_job(self, job, items, rng):
        body = json.dumps({"items": items})
        headers = {"Host": HOST, "X-Dappleyard-Request-Id": job, "Authorization": "Token calm-1",
                   "Content-Type": "application/json"}
        refused = True
        for _ in range(40):
            node = self.pick_node(rng)
            if node is not None:
                status, _ = self.call(node.ip, FRONT_PORT, "POST", "/jobs/x", body, headers)
                self.count(f"job {status}")
                if status == 202:
                    return True
                refused &= status in NOT_RUN_STATUSES
            time.sleep(0.2)
        if refused:
            self.refused_ids.update(item["id"] for item in items)
        return False

    def cancel_job(self, job, rng):
        for _ in range(40):
            node = self.pick_node(rng)
            if node is not None:
                path = f"/v1/lots/{job}"
                status, _ = self.call(node.ip, FRONT_PORT, "DELETE", path, headers=READ_HEADERS)
                if status == 200:
                    self.count("job cancelled")
                    threading.Timer(4, self.check_cancelled, [job]).start()
                    return
            time.sleep(0.2)

    def check_cancelled(self, job):
        before = self.runs_begun(job)
        time.sleep(3)
        after = self.runs_begun(job)
        if before is not None and after is not None and before != after:
            self.record_violation("cancelled job stops", f"{job}: run count went from {before} to {after}")

    def runs_begun(self, job):
        truth = self.control("GET", "/truth")
        if truth is None:
            return None
        runs = json.loads(truth).items()
        return sum(run["begun"] for item, run in runs if item.startswith(f"{job}-"))

    def results(self, job, node):
        found, offset = [], 0
        for _ in range(100):
            path = f"/v1/lots/{job}?after_rev={offset}"
            status, body = self.call(node.ip, FRONT_PORT, "GET", path, headers=READ_HEADERS, timeout_s=3)
            if status != 200:
                return None
            page = json.loads(body)
            self.note_results(job, offset, page["results"], node.name)
            found += page["results"]
            if page["next_token"] >= page["total"] or not page["results"]:
                return found
            offset = page["next_token"]
        return None

    def is_done(self, job, items):
        found = self.results(job, random.choice(self.nodes))
        if found is None or len(found) < len(items):
            return False
        if sorted(result["id"] for result in found) != sorted(items):
            self.record_violation("exactly once", f"{job}: {[result['id'] for result in found]}")
        for result in found:
            lines = [line.rpartition("@") for line in result["text"].split("\n")]
            expected = [f"{result['id']}-{n}" for n in range(1, EVENTS_PER_STREAM + 1)]
            if result["state"] != "completed" or [line[0] for line in lines] != expected:
                self.record_violation("whole result", f"{result['id']}: {result['state']}")
            versions = sorted({version for _, _, version in lines})
            if len(versions) > 1:
                self.record_violation("a text holds one software version's events", f"{result['id']}: {versions}")
        return True
