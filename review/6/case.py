"""One huge array of small tasks arrives. Its tasks are put on one machine until the worker's report is larger than
a request body may be; from then on no controller takes a report of that worker, and its lease kills everything."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import world as w  # noqa: E402

PIECES = 2500    # the protocol allows 100,000


def make_world(path):
    params = w.kajaani()
    params["teams"].append(w.team("oulu-radio"))
    capacity = {("kaamos", "kajaani-halli", False): 1}
    return w.World(path, params, [w.KAAMOS, w.REVONTULI], capacity)


async def scenario(world):
    other = w.job("j-000001", "frameclean", "levyryhma-00", "batch", 1, 10, 1, 72, Loaners=True, GuessS=70.0)
    await world.submit(other, 70.0)
    await world.until(lambda: world.starts["j-000001/0"], 20, "the first job did not start")
    if w.TROUBLE:
        array = w.job("j-000002", "meridian-sweep", "oulu-radio", "batch", PIECES, 0.015, 0, 0.05, Loaners=True,
                      Bundle="img-02", SizeGb=0.5, GuessS=90.0)
        if not await world.submit(array, 90.0):
            raise w.CannotRun("the array was not accepted")
    end = time.monotonic() + 100
    while time.monotonic() < end:
        await asyncio.sleep(1)
        if "j-000001/0" in world.finished:
            return True
        machines = list(world.cloud.machines.values())
        world.record("test", "look", tasks=[len(m.tasks) for m in machines], session=[m.stint for m in machines])
    world.breach("accepted_must_run", f"j-000001 is not done after {len(world.starts['j-000001/0'])} starts; "
                 f"refused reports: {sum(len(m.refusals) for m in world.cloud.machines.values())}")
    return False


w.run(scenario, HERE, make_world)
