"""Constants that several parts use, and the bounds of the checks."""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
OUTPUT_DIR = ROOT / "out" / "soak"
HOST = "soak.example"
ZONES = ["north", "south", "west"]
STORE_PORT, CONTROL_PORT = 17600, 17601
FRONT_PORT, READY_PORT, DIRECTORY_PORT, FIRST_PEER_PORT = 18161, 18167, 18164, 17720
EVENTS_PER_STREAM = 20
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Answers by which a request that may have run fails, although nothing hindered it.
FAILED_STATUSES = {500, 502}
# Grace period of a stop, in the nodes' settings.
GRACE_S = 8
# Shortest idle limit of callers' connections in any configuration of a run.
SHORTEST_IDLE_LIMIT_S = 15
# Quota of the stand-in's tenant "greedy" (requests per second, burst) and the tolerance set in the nodes' settings.
QUOTA_PER_S, QUOTA_BURST, QUOTA_WINDOW_S, QUOTA_OVER, QUOTA_SLACK = 5, 5, 5, 0.1, 20
OVER_QUOTA_CALLERS = 4
READ_HEADERS = {"Host": HOST, "Authorization": "Token calm-1"}
# A revoked key is rejected by all nodes after this time: `config_apply_ms` plus the duration of a call.
REVOCATION_BOUND_S = 3
JOBS_TIMEOUT_S = 45
# Rate limit of a cold server in the stand-in's service, and the tolerance set in the nodes' settings.
COLD_REQUESTS_PER_S, COLD_OVER, COLD_SLACK = 5, 1.5, 2.5
EVACUATION_BOUND_MS = 2000
# A node may still send to an evacuated zone for this time after a fault: the longest pause, plus the time to catch up
# with changes.
FAULT_EFFECT_S = 6
# Servers that one request may crash; calls with a crashing request before a new one replaces it.
MAX_CRASHED_SERVERS, CALLS_PER_CRASHING_REQUEST = 3, 30
# Prompt parts: callers, the first part that all share, the other parts of sound requests, the time for which a crashing part
# is sent, and the time before the first one.
PROMPT_PART_CALLERS, FIRST_PART, MIDDLE_PARTS = 4, "f1", [f"a{number}" for number in range(8)]
PART_LIFETIME_S, QUIET_BEFORE_PARTS_S = 20, 2
# The rule for a crashing part: crashes until it is bound, time from then, and runs that may begin after it; and for sound
# requests beside it, from twice that time.
MAX_PART_CRASHES, CONTACT_S, MAX_LATE_PART_RUNS = 5, 3, 3
MIN_SOUND_REQUESTS, MIN_SOUND_RATIO = 20, 0.5
# Time until other nodes know of a crash: two checks of the server's port, and gossip.
CRASH_PROPAGATION_MS = 300
# Servers that one call may crash on a route with three attempts.
MAX_CRASHES_PER_CALL = 3
# Longest evacuation. It is shorter for two zones, since a third of the servers then serves all load.
MAX_EVACUATION_S, MAX_TWO_ZONE_EVACUATION_S = 12, 4
ZONE_LOSS_S = 1.5
# Deadline of a request, and the largest Retry-After, as a fraction of it, that callers follow.
DEADLINE_S, MAX_RETRY_DELAY_FRACTION = 5, 1 / 3
# Overload while two of three zones are unavailable: duration, and slots per server. The number of additional callers
# is twice the slots of the third zone.
OVERLOAD_S, SLOTS_PER_SERVER = 2, 8
# Every request is served from this time after the end of the last fault.
RECOVERY_BOUND_S = 2
# Slow servers: response time in percent of normal, and duration.
SLOW_PERCENT, SLOWDOWN_S = [150, 200, 400], 4
# Callers that resume streams, and how often they resume one.
RESUMING_CALLERS, MAX_RESUMPTIONS = 4, 3
# Time for which a server is replaced: drain, restart, and the time until all nodes list it.
RELEASE_S = 4
# Refusals that may name no time to come back, because the stream can never be continued.
FINAL_ERRORS = {"stream_origin_gone", "stream_origin_unknown"}
# Resumptions from which their share is judged, and the smallest ratio of it to the share of new streams that begin.
MIN_RESUMPTIONS, MIN_RESUMED_RATIO = 12, 0.5
# Time to the deadline below which a refusal as `deadline_too_near` may name no time to come back.
USELESS_RETURN_S = DEADLINE_S / 2
LOAD_SHEDDING_ERRORS = {"over_share", "no_room_in_time"}
