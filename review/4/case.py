"""A configuration adds a route with a longer prefix on the same host; items of accepted jobs are given up."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))
from platform2 import TROUBLE, Fleet, batch_route, configuration, items, main, read_results, route, submit

JOB, COUNT = "7c41e09b52d6a3f8", 40


async def case(folder):
    fleet = Fleet(folder, nodes=3)
    for _ in range(3):
        fleet.add_server(slots=4, events=40, gap_s=0.03)
    jobs = batch_route()
    try:
        await fleet.start(configuration(10, [jobs]))
        await asyncio.sleep(2)
        if await submit(fleet, fleet.nodes[0], JOB, items("a1b2c3d4", COUNT)) != 202:
            return None
        await asyncio.sleep(2)
        if TROUBLE:
            # The route of the job stays as it is.
            added = route("jobs-online", "streaming", path_prefix="/jobs/1/")
            await fleet.configure(configuration(17, [jobs, added]))
        results = []
        for _ in range(60):
            results, _ = await read_results(fleet, fleet.nodes[1], JOB)
            if results is not None and len(results) == COUNT:
                break
            await asyncio.sleep(0.5)
        states = [result["state"] for result in results or []]
        fleet.record.say("items:", COUNT, "completed:", states.count("completed"), "abandoned:", states.count("abandoned"))
        # No server answered 422 or 500, max_wait_s is 60, and neither the job nor its route has ended.
        return states.count("abandoned") == 0
    finally:
        fleet.stop()


main(case, FOLDER)
