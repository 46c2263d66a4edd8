"""Case 3: after one failed start on a machine that was faulty for a moment, a job waits beside room for good."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from setup import SITE_CAPACITY, deployment  # noqa: E402
from world import job, run_case  # noqa: E402

SICK_S = 10.0      # the site file has machines that fail every task for 95 s
WAIT_S = 90.0      # LATER: "no job is left waiting for 90 s while a machine that fits has room"


async def until(condition, seconds):
    end = asyncio.get_running_loop().time() + seconds
    while not condition():
        if asyncio.get_running_loop().time() > end:
            raise RuntimeError("the case could not be set up")
        await asyncio.sleep(0.05)


async def case(record, trouble):
    _, world, controllers, users = await deployment(record, SITE_CAPACITY)
    kind = {"Breeds": ["kaamos"]}
    try:
        # A job that runs long (frameclean: up to 150 s) keeps the machine in use.
        await users.submit(job("j-000001", GuessS=120.0, **kind), run_s=150.0)
        await until(lambda: world.tasks_on("j-000001"), 20)
        name = world.tasks_on("j-000001")[0][0]
        machine = world.machines[name]
        machine.sick = trouble  # the disruption: the machine fails every task that it starts
        record.add(f"{name}: fails every task from now on: {trouble}")
        await users.submit(job("j-000002", **kind), run_s=5.0)
        await asyncio.sleep(SICK_S)
        machine.sick = False
        over = record.now()
        record.add(f"{name}: well again; the trouble is over")
        # An equal job, submitted later, shows that the machine has room and runs such tasks.
        await users.submit(job("j-000003", **kind), run_s=5.0)
        status = {}
        room = True
        while record.now() < over + WAIT_S + 3.0:
            for other in ("j-000002", "j-000003"):
                code, answer = await users.poll(other)
                if code == 200:
                    status[other] = answer["Status"]
            free = machine.free()
            room = room and not machine.gone_at and free[0] >= 10.0 and free[1] >= 1.0 and free[2] >= 72.0
            if status.get("j-000002") == "done" and status.get("j-000003") == "done":
                break
            await asyncio.sleep(3.0)
        record.add(f"at the end: {status}; {name} had room for another such task all the time: {room}")
        print(f"{status}; room on {name} all the time: {room}")
        if status.get("j-000003") != "done":
            raise RuntimeError("the later job did not run either")
        return status.get("j-000002") == "done" or not room
    finally:
        for i in range(controllers.count):
            record.add(f"log of {controllers.names[i]}:\n{controllers.log(i)}")
        await controllers.stop()


run_case(case)
