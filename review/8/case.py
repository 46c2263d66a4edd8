"""A gang that can never run: at most half of its tasks may be in one zone, and there is only one zone. An equal gang
without that condition, submitted after it, shows that there is room."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import world as w  # noqa: E402

WAIT_S = 60.0


def make_world(path):
    return w.World(path, w.hobart(), [w.DERWENT, w.WELLINGTON], {("derwent", "hobart-rack", False): 8})


def fitmodel(name, spread):
    return w.job(name, "fitmodel", "benchcrew", "group", 2, 28, 4, 200, Urgency="standard",
                 Breeds=["derwent", "wellington"], Spread=spread, GuessS=20.0, NotchS=30.0, StashS=3.0)


async def scenario(world):
    odd, sound = fitmodel("j-000001", w.TROUBLE), fitmodel("j-000002", False)
    accepted = await world.submit(odd, 20.0)
    if not await world.submit(sound, 20.0):
        raise w.CannotRun("the sound gang was not accepted")
    await world.until(lambda: "j-000002/1" in world.finished, 60, "the sound gang is not done")
    if not accepted:
        return True  # refused: its user knows that it can't run
    await asyncio.sleep(max(0.0, WAIT_S - world.record.now()))
    started = [name for name in world.starts if name.startswith("j-000001/") and world.starts[name]]
    answer = await world.poll("j-000001")
    if len(started) == 2:
        return True
    world.breach("accepted_can't_run", f"j-000001 was accepted, though it can't run; its user is told "
                                       f"{answer and answer[1]}")
    return False


w.run(scenario, HERE, make_world)
