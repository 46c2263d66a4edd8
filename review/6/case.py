"""For a few seconds, jobs of one class come more often; their users call them off. Afterwards a job of another
class waits beside a machine with room, which is kept for the class that nobody asks for any more."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import world as w  # noqa: E402

WAIT_S = 90.0      # the rule's bound
BURST = 3          # additional jobs; the site file's bursts bring three to four times the usual 1.9 a minute


def make_world(path):
    return w.World(path, w.hobart(), [w.DERWENT, w.WELLINGTON], {("derwent", "hobart-rack", False): 2})


def fitmodel(number):
    return w.job(f"j-0001{number:02d}", "fitmodel", "benchcrew", "group", 1, 28, 4, 200, Urgency="standard",
                 Breeds=["derwent", "wellington"], Together=True, GuessS=250.0, NotchS=30.0, StashS=3.0)


def facescan(number, pieces):
    return w.job(f"j-0002{number:02d}", "facescan", "benchcrew", "batch", pieces, 6, 1, 48,
                 Breeds=["derwent", "wellington"], Loaners=True, GuessS=70.0, NotchS=20.0, StashS=5.0,
                 DueS=125.0)


async def scenario(world):
    began = time.monotonic()
    await world.submit(fitmodel(0), 300.0)
    await world.submit(facescan(0, 2), 200.0)
    await world.until(lambda: world.starts["j-000100/0"] and world.starts["j-000200/1"], 15,
                      "the first jobs did not start")
    host = world.cloud.machines[world.starts["j-000200/1"][0][1]]
    await asyncio.sleep(max(0.0, began + 15.5 - time.monotonic()))
    if w.TROUBLE:
        world.record("trouble", "more jobs of class fitmodel")
        for number in range(1, BURST + 1):
            await world.submit(fitmodel(number), 200.0)
        await asyncio.sleep(1)
        for number in range(1, BURST + 1):
            await world.cancel(f"j-0001{number:02d}")
        world.record("trouble", "over: all of them are cancelled and none is left")
    job = facescan(1, 1)
    if not await world.submit(job, 60.0):
        raise w.CannotRun("the last job was not accepted")
    over = time.monotonic()
    while not world.starts["j-000201/0"]:
        await asyncio.sleep(0.5)
        now = time.monotonic()
        if not host.has_room_for(job):
            raise w.CannotRun("the machine has no room")
        world.record("test", "look", waiting_s=round(now - over, 1), room_on=host.name)
        if now - over > WAIT_S:
            answer = await world.poll("j-000201")
            world.breach("left_waiting", f"j-000201 waited {now - over:.1f} s while {host.name} had room; "
                                         f"its user is told {answer and answer[1]}")
            return False
    return True


w.run(scenario, HERE, make_world)
