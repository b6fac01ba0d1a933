"""A node and its process."""

import json
import os
import subprocess
import time

from soak_lib.constants import (
    COLD_OVER, COLD_SLACK, DIRECTORY_PORT, EVACUATION_BOUND_MS, FAULT_EFFECT_S, FIRST_PEER_PORT, FRONT_PORT, GRACE_S,
    QUOTA_OVER, QUOTA_SLACK, QUOTA_WINDOW_S, READY_PORT, STORE_PORT, ZONES,
)


class Node:
    """A node and its process."""

    def __init__(self, number, regions, sheds_load, network, output_dir):
        self.name = f"node-{number}"
        self.ip = network.node(number)
        self.zone = ZONES[number % len(ZONES)]
        self.log_path = output_dir / f"{self.name}.log"
        self.settings = output_dir / f"{self.name}.toml"
        self.process = None
        self.started_at, self.start_times, self.stopped_in_start = 0, [], False
        self.stop_times = []  # SIGTERM
        self.fault_times = []  # times of faults that may cut responses
        self.down_until = 0  # not started before then
        zone_regions = "".join(f'{zone} = "{region}"\n' for zone, region in regions.items())
        contracts = 'contracts = ["pressure"]\n' if sheds_load else ""
        self.settings.write_text(
            f'{contracts}node_name = "{self.name}"\nip = "{self.ip}"\nzone = "{self.zone}"\n'
            f"port_range = [{FIRST_PEER_PORT},{FIRST_PEER_PORT + 15}]\n"
            f'[listen]\nfront = "{self.ip}:{FRONT_PORT}"\nready = "{self.ip}:{READY_PORT}"\n'
            f'directory = "{self.ip}:{DIRECTORY_PORT}"\n'
            f'[platform]\naddress = "{network.platform()}:{STORE_PORT}"\nrow_bytes = 65536\n'
            f"[bounds]\ngrace_s = {GRACE_S}\nttl_max_s = 5\nstatus_s = 120\nconfig_apply_ms = 2000\n"
            f"quota_window_s = {QUOTA_WINDOW_S}\nquota_over = {QUOTA_OVER}\nquota_slack = {QUOTA_SLACK}\n"
            f"evac_ms = {EVACUATION_BOUND_MS}\ncold_over = {COLD_OVER}\ncold_slack = {COLD_SLACK}\n"
            f"[zones]\n{zone_regions}[tolerate]\nzones = 1\n"
        )

    def start(self, program):
        log = open(self.log_path, "ab")
        self.started_at, self.stopped_in_start = time.time(), False
        self.start_times.append(self.started_at)
        environment = {"PATH": os.environ["PATH"], "DAPPLEYARD_SETTINGS": str(self.settings)}
        self.process = subprocess.Popen(
            [program, "serve"], stdout=log, stderr=log, env=environment, start_new_session=True
        )

    def peak_memory_mb(self):
        """Peak memory of the running process, 0 if there is none."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                peaks = [int(line.split()[1]) for line in status if line.startswith("VmHWM:")]
        except OSError:
            return 0
        return peaks[0] // 1024 if peaks else 0

    def signal(self, number):
        self.process.send_signal(number)

    def had_fault_near(self, since):
        return any(at > since - 3 for at in self.fault_times)

    def had_fault_between(self, since, until):
        """Whether a fault shortly before or during a call may have cut its response."""
        return any(since - 3 < at < until + 0.5 for at in list(self.fault_times))

    def stop_asked_at(self, at):
        """Time of the first SIGTERM to the process that ran at a time, or None if it came later."""
        started_at = max((started for started in list(self.start_times) if started <= at), default=at)
        return min((asked for asked in list(self.stop_times) if started_at <= asked <= at), default=None)

    def is_stopping(self, at):
        return self.stop_asked_at(at) is not None

    def closings(self):
        """Yields when each stop began to close the node's connections and when the last one had ended, by the node's log."""
        closing_at = None
        with open(self.log_path, errors="replace") as log:
            for line in log:
                if '"event":"stop_closing"' in line:
                    closing_at = json.loads(line)["at_ms"] / 1000
                elif '"event":"stop"' in line and closing_at is not None:
                    yield closing_at, closing_at + json.loads(line)["closed_after_ms"] / 1000
                    closing_at = None

    def had_fault_before(self, until):
        return any(until - FAULT_EFFECT_S < at <= until + 1 for at in self.fault_times)
