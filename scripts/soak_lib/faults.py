"""Faults of nodes, servers, zones and the store."""

import random
import signal
import threading
import time

from soak_lib.constants import (
    GRACE_S, MAX_EVACUATION_S, MAX_TWO_ZONE_EVACUATION_S, OVERLOAD_S, RELEASE_S, SLOTS_PER_SERVER, SLOWDOWN_S,
    SLOW_PERCENT, ZONES, ZONE_LOSS_S,
)


class Faults:
    """Injects faults."""

    def inject_fault(self):
        kind = self.random.choice(["kill", "kill", "pause", "stop while down", "down", "lost",
                                   "forget", "version", "revoke", "revoke", "evacuate",
                                   "evacuate", "evacuate", "dark", "lose zone"]
                                  + ["scarce"] * 4 * self.sheds_load + ["slow"] * 3 * self.has_slow_servers)
        max_evacuation_s = MAX_TWO_ZONE_EVACUATION_S if len(self.evacuated_since) > 1 else MAX_EVACUATION_S
        if any(time.time() > since + max_evacuation_s for since in self.evacuated_since.values()):
            kind = "evacuate"
        node = self.random.choice(self.nodes)
        self.count(f"fault {kind}")
        if kind == "kill":
            node.fault_times.append(time.time())
            node.signal(signal.SIGKILL)
        elif kind == "pause":
            node.fault_times += [time.time() + second for second in range(5)]
            node.signal(signal.SIGSTOP)
            time.sleep(self.random.uniform(1, 4))
            node.signal(signal.SIGCONT)
        elif kind == "stop while down":
            self.begin_planned("stop")
            self.run_store_fault(self.random.uniform(0.5, GRACE_S), {"down": True}, {"down": False})
        elif kind == "down":
            self.run_store_fault(self.random.uniform(0.5, 4), {"down": True}, {"down": False})
        elif kind == "lost":
            self.run_store_fault(3, {"lost": 0.3}, {"lost": 0.0})
        elif kind == "evacuate" and self.evacuated_since:
            self.restore_zones(self.random.random() < 0.6)
        elif kind == "evacuate":
            self.evacuate(self.random.sample(ZONES, self.random.choice([1, 1, 2])))
        elif kind == "dark":
            self.run_outage([self.random.choice(ZONES)], self.random.uniform(1, 3),
                            self.random.random() < 0.5)
        elif kind == "scarce":
            self.run_overload(3)
        elif kind == "slow":
            servers = self.random.sample(range(self.arguments.servers), self.arguments.servers // 3)
            self.set_fault(slow=servers, slow_percent=self.random.choice(SLOW_PERCENT), slow_s=SLOWDOWN_S)
        elif kind == "lose zone":
            self.lose_zone(self.random.choice(ZONES))
        elif kind == "forget":
            self.set_fault(forget=True)
        elif kind == "revoke":
            self.revoke_or_restore()
        else:
            self.configure()

    def revoke_or_restore(self):
        """Revokes an API key or restores it, in a new version of the configuration."""
        with self.configuring:
            self.version += 3
            if self.revoked_since is None:
                self.set_fault(version=self.version, revoked=["calm-2"])
                self.revoked_since = time.time()
            else:
                self.revoked_since = None
                self.set_fault(version=self.version)

    def run_store_fault(self, seconds, begin, end):
        since = time.time()
        self.store_faults.append((since, since + seconds))
        self.set_fault(**begin)
        time.sleep(seconds)
        self.set_fault(**end)

    def had_store_fault(self, since, until):
        return any(since < end + 1 and begin < until for begin, end in self.store_faults)

    def evacuate(self, zones):
        self.set_fault(evacuate=zones)
        self.evacuated_since = dict.fromkeys(zones, time.time())

    def restore_zones(self, are_cold):
        zones, until = list(self.evacuated_since), time.time()
        self.evacuations += [(zone, since, until) for zone, since in self.evacuated_since.items()]
        self.evacuated_since = {}
        self.set_fault(restore=zones, cold=zones if are_cold else [], cold_s=3)

    def lose_zone(self, zone):
        """Kills all nodes of a zone and makes its servers unavailable for a time."""
        now = time.time()
        for node in self.nodes:
            if node.zone == zone:
                node.fault_times += [now, now + ZONE_LOSS_S]
                node.down_until = now + ZONE_LOSS_S
                node.signal(signal.SIGKILL)
        self.run_outage([zone], ZONE_LOSS_S, True)

    def run_outage(self, zones, dark_s, refuse, cold_s=3):
        """Makes the servers of `zones` unavailable for a time, and cold after it. Connections hang, or are closed and
        refused if `refuse` is set."""
        now = time.time()
        self.outages.append((now, now + dark_s))
        self.set_fault(dark=zones, dark_s=dark_s, refuse=refuse, cold_s=cold_s)
        time.sleep(dark_s)

    def run_overload(self, cold_s):
        """Makes two of three zones unavailable and adds callers."""
        if self.evacuated_since:
            self.restore_zones(False)
        self.overload_until = time.time() + OVERLOAD_S
        for number in range(2 * SLOTS_PER_SERVER * self.arguments.servers // len(ZONES)):
            threading.Thread(target=self.send_overload, args=[number], daemon=True).start()
        self.run_outage(self.random.sample(ZONES, 2), OVERLOAD_S, self.random.random() < 0.5, cold_s)

    def wait_for_silence(self, server):
        while time.time() < self.silent_until[server]:
            time.sleep(0.05)

    def had_outage_since(self, begun):
        """Whether a server outage overlaps a call that ends now; it may cut requests that must not be repeated."""
        return any(begun < until + 0.5 for _, until in self.outages)

    def release_servers(self):
        """Replaces servers by those of the next software version, one after the other."""
        rng = random.Random(f"{self.arguments.seed}/release")
        version, count = 1, self.arguments.servers
        while not self.stop_releasing.wait(rng.uniform(0.5, 3)):
            version += 1
            for server in rng.sample(range(count), rng.randint(1, count)):
                if self.stop_releasing.is_set():
                    return
                self.wait_for_silence(server)
                with self.lock:
                    self.server_versions[server] = None
                    self.set_fault(release=[server], release_version=f"v{version}")
                self.count("servers replaced")
                self.stop_releasing.wait(RELEASE_S)
                self.server_versions[server] = f"v{version}"
