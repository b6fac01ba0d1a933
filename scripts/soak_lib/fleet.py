"""Processes of a run, and calls to them."""

import http.client
import json
import signal
import subprocess
import sys
import threading
import time
import traceback

from soak_lib.constants import CONTROL_PORT, DIRECTORY_PORT, HOST, READY_PORT, ZONES


class Fleet:
    """The nodes and the stand-in platform."""

    def start(self):
        log = open(self.output_dir / "standin.log", "ab")
        self.standin = subprocess.Popen(
            [self.standin_program, "--ip", self.network.platform(), "--servers", str(self.arguments.servers)]
            + ["--relays"] + ["--tell-load"] * self.has_slow_servers,
            stdout=log, stderr=log, start_new_session=True,
        )
        self.wait("the stand-in", lambda: self.control("GET", "/truth") is not None)
        for node in self.nodes:
            node.start(self.program)
        for node in self.nodes:
            self.wait(node.name, lambda: self.is_ready(node))

    def stop_processes(self):
        for process in [node.process for node in self.nodes] + [self.standin]:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def wait(self, what, is_up):
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if is_up():
                return
            time.sleep(0.05)
        self.stop_processes()
        sys.exit(f"{what} did not become ready; see the logs in {self.output_dir}")

    def is_ready(self, node):
        return self.call(node.ip, READY_PORT, "GET", "/v1/ready", timeout_s=1)[0] == 200

    def restart_nodes(self):
        """Restarts terminated nodes after a short delay."""
        while not self.stopping.wait(0.3):
            for node in self.nodes:
                if node.process.poll() is not None and time.time() > node.down_until:
                    self.check_exit(node)
                    node.start(self.program)

    def restore_nodes(self):
        """Waits until all nodes serve after the run; starts those that end."""
        for node in self.nodes:
            self.wait(node.name, lambda: self.is_back(node))

    def is_back(self, node):
        if node.process.poll() is not None:
            self.check_exit(node)
            node.start(self.program)
        return self.is_ready(node)

    def check_exit(self, node):
        """Checks that a process ended cleanly, unless it was killed, or stopped before it handled SIGTERM."""
        code = node.process.returncode
        allowed = {0, -signal.SIGKILL} | ({-signal.SIGTERM} if node.stopped_in_start else set())
        if code not in allowed:
            self.record_violation("a process ends cleanly", f"{node.name}: exit code {code}")

    def spawn(self, function, *arguments):
        """Starts a thread that does not keep the run from ending."""
        thread = threading.Thread(target=self.run_caller, args=[function, *arguments], daemon=True)
        thread.start()
        return thread

    def run_caller(self, function, *arguments):
        """Runs a caller; one that fails would check nothing any more."""
        try:
            function(*arguments)
        except Exception:
            self.record_violation("the soak itself works", traceback.format_exc())

    def call(self, *arguments, **options):
        return self.call_with_headers(*arguments, **options)[:2]

    def call_with_headers(self, ip, port, method, path, body=None, headers=None, timeout_s=6):
        connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        except (OSError, http.client.HTTPException) as error:
            return None, str(error).encode(), {}
        finally:
            connection.close()

    def control(self, method, path, body=None):
        headers = {"Content-Type": "application/json"}
        status, answer = self.call(self.network.platform(), CONTROL_PORT, method, path, body, headers)
        return answer if status == 200 else None

    def resolve_host(self, rng):
        for node in rng.sample(self.nodes, len(self.nodes)):
            zone = rng.choice(ZONES)
            path = f"/v1/resolve?name={HOST}&region={self.region_by_zone[zone]}&zone={zone}"
            status, answer = self.call(node.ip, DIRECTORY_PORT, "GET", path, timeout_s=1)
            if status == 200:
                return json.loads(answer)["addresses"]
        return []

    def pick_node(self, rng):
        addresses = self.resolve_host(rng)
        if not addresses:
            return None
        ip = rng.choice(addresses).split(":")[0]
        return next(node for node in self.nodes if node.ip == ip)

    def record_violation(self, promise, detail):
        with self.lock:
            self.violations.append(f"{promise}: {detail}")

    def count(self, name):
        with self.lock:
            self.counts[name] += 1

    def set_fault(self, **fault):
        with open(self.output_dir / "faults.log", "a") as log:
            print(json.dumps({"at_ms": int(time.time() * 1000), **fault}), file=log)
        self.control("POST", "/fault", json.dumps(fault))
