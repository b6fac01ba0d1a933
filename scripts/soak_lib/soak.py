"""A soak run: the fleet, its callers, faults and planned work, and the checks."""

import argparse
import collections
import os
import pathlib
import random
import shutil
import sys
import threading
import time

from soak_lib.callers import Callers
from soak_lib.checks import Checks
from soak_lib.crashes import CrashingCallers
from soak_lib.faults import Faults
from soak_lib.faulty import FaultyServers
from soak_lib.fleet import Fleet
from soak_lib.jobs import JobCallers
from soak_lib.kept import KEPT_CALLERS, KEPT_JOB_CALLERS, KeptCallers
from soak_lib.network import LoopbackNetwork
from soak_lib.node import Node
from soak_lib.planned import PLANNED_GAP_BESIDE_FAULTS_S, PLANNED_GAP_S, PlannedWork
from soak_lib.resumption import ResumingCallers
from soak_lib.unanswered import UnansweredChecks
from soak_lib.constants import OUTPUT_DIR, OVER_QUOTA_CALLERS, PROMPT_PART_CALLERS, RESUMING_CALLERS, ROOT, ZONES

# Callers that open a connection for each stream, and callers of jobs.
STREAM_CALLERS, JOB_SUBMITTERS = 8, 3


class Soak(Fleet, Callers, KeptCallers, ResumingCallers, CrashingCallers, JobCallers, Faults, FaultyServers,
           PlannedWork, Checks, UnansweredChecks):
    """The fleet, its callers and the recorded results."""

    def __init__(self, arguments):
        self.arguments = arguments
        self.random = random.Random(arguments.seed)
        self.output_dir = pathlib.Path(arguments.output)
        self.network = LoopbackNetwork()
        # Guards the records; held only shortly. `configuring` orders the versions of the configuration.
        self.lock, self.configuring = threading.Lock(), threading.Lock()
        self.counts = collections.Counter()
        self.violations = []
        self.refused_ids, self.orders, self.jobs = set(), set(), {}
        self.version, self.revoked_since = 1, None
        self.stopping = threading.Event()
        target_dir = pathlib.Path(os.environ.get("CARGO_TARGET_DIR", ROOT / "target"))
        self.program = str(target_dir / arguments.profile / "dappleyard")
        self.standin_program = str(target_dir / arguments.profile / "dappleyard-platform-standin")
        # Even seeds use two regions.
        west_region = "far" if arguments.seed % 2 == 0 else "near"
        self.region_by_zone = dict(zip(ZONES, ["near", "near", west_region]))
        self.sheds_load = arguments.seed % 4 >= 2
        self.has_slow_servers = arguments.seed % 3 == 0
        self.nodes = [Node(number, self.region_by_zone, self.sheds_load, self.network, self.output_dir)
                      for number in range(arguments.nodes)]
        self.standin = None
        self.stop_crashing, self.overload_until, self.servers_restored_at = threading.Event(), 0, None
        self.served_after_recovery = 0
        self.node_by_request = {}  # request id -> node
        self.outages, self.store_faults = [], []  # start, end
        self.truncated = []  # request, kind, node, start, end, error
        self.unanswered, self.failed = [], []  # on kept connections
        self.events = []  # time, kind of planned work, node or None
        self.planned_begun, self.planned_threads = 0, []
        self.planned_random = random.Random(f"{arguments.seed}/planned")
        self.crashing_calls = collections.defaultdict(list)  # request -> (node, time)
        self.part_requests = collections.defaultdict(list)  # crashing part -> (request, node, time)
        self.sound_part_requests = []  # time, whether it began; at calm nodes, beside requests with crashing parts
        self.evacuated_since, self.evacuations = {}, []  # zone -> start; (zone, start, end)
        self.stop_releasing = threading.Event()
        self.server_versions = ["v1"] * arguments.servers  # None while a server is replaced
        self.silent_until = [0] * arguments.servers
        self.stop_spoiling, self.double_runs_seen = threading.Event(), 0
        self.nodes_over_memory, self.runs = set(), {}  # runs: the record of the model servers, after the run
        self.known_results, self.item_positions = {}, {}  # job -> position -> result; job -> item -> position
        self.begun_at_calm_nodes = collections.defaultdict(list)  # "new" or "resumed" -> whether each stream began

    def run(self):
        self.start()
        if self.arguments.planned:
            self.release_one_server()
        callers = self.start_callers()
        restarter = self.spawn(self.restart_nodes)
        watcher = self.spawn(self.watch)
        if self.arguments.planned:
            self.run_planned(PLANNED_GAP_S)
            self.stop_spoiling.set()
            self.wait_for_planned()
        else:
            self.run_faults()
        time.sleep(3)
        self.stopping.set()
        self.stop_crashing.set()
        for thread in callers + [restarter, watcher]:
            thread.join(15)
        self.restore_nodes()
        self.check()
        if self.arguments.planned:
            self.check_planned()
        self.stop_processes()

    def start_callers(self):
        kinds = [(self.send_streams, STREAM_CALLERS), (self.submit_jobs, JOB_SUBMITTERS),
                 (self.resume_streams, RESUMING_CALLERS), (self.keep_connection, KEPT_CALLERS),
                 (self.keep_connection_for_jobs, KEPT_JOB_CALLERS)]
        if not self.arguments.planned:
            kinds += [(self.send_over_quota, OVER_QUOTA_CALLERS), (self.send_crashing_requests, 2),
                      (self.send_prompt_parts, PROMPT_PART_CALLERS)]
        callers = [self.spawn(send, number) for send, callers in kinds for number in range(callers)]
        if not self.arguments.planned:
            callers.append(self.spawn(self.send_with_revocable_key))
            if not self.arguments.no_releases:
                self.spawn(self.release_servers)
        if not self.arguments.no_faulty:
            self.spawn(self.spoil_servers)
        return callers

    def run_faults(self):
        planner = self.spawn(self.run_planned, PLANNED_GAP_BESIDE_FAULTS_S)
        until = time.monotonic() + self.arguments.seconds
        while time.monotonic() < until:
            time.sleep(self.random.uniform(0.8, 2.5))
            self.inject_fault()
        self.restore_zones(False)
        self.stop_releasing.set()
        self.stop_spoiling.set()
        planner.join()
        self.wait_for_planned()
        if self.sheds_load:
            self.stop_crashing.set()
            self.run_overload(0)
            self.servers_restored_at = time.time()


def main(description):
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--nodes", type=int, default=5, choices=range(2, 40), metavar="2..39")
    parser.add_argument("--servers", type=int, default=6, choices=range(1, 100), metavar="1..99")
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-releases", action="store_true", help="replace no servers")
    parser.add_argument("--no-faulty", action="store_true", help="servers send nothing that is no answer")
    parser.add_argument("--planned", action="store_true", help="only planned work and silences, no faults")
    parser.add_argument("--output", default=OUTPUT_DIR, help="folder of logs and state, emptied first")
    parser.add_argument("--profile", default="release", help="folder of the programs in Cargo's target folder")
    arguments = parser.parse_args()
    shutil.rmtree(arguments.output, ignore_errors=True)
    os.makedirs(arguments.output)
    soak = Soak(arguments)
    try:
        soak.run()
    finally:
        soak.stop_processes()
    for name, count in sorted(soak.counts.items()):
        print(f"{name}: {count}")
    print(f"jobs read back: {len(soak.jobs)}; refused ids: {len(soak.refused_ids)}; "
          f"orders: {len(soak.orders)}")
    for line in soak.violations:
        print(f"broken: {line}")
    print(f"promises broken: {len(soak.violations)}")
    sys.exit(1 if soak.violations else 0)
