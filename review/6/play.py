"""Case 6: a plug-in whose hook loops forever."""
import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
sys.dont_write_bytecode = True
from rig import TROUBLE, Client, play  # noqa: E402

# Looks a request's id up in a list of marked ones, again and again: without end, or three times.
HOOK = """
fn on_request(request) {
    let marked = [];
    marked.pad(1000, "none");
    let looks = 0;
    while looks < LOOKS {
        if marked.contains(request.name) { return "marked"; }
        looks += STEP;
    }
}
"""
REQUESTS, APART_S = 40, 0.25
DEADLINE_S = 4.0
LATEST_S = DEADLINE_S + 0.5 + 0.05 + 0.016  # half a second more, 50 ms, and the settings' grace


async def case(rig):
    discovery = await rig.discovery()
    engines = [await rig.engine(f"s-read{n}", "read") for n in (1, 2)]
    engines += [await rig.engine(f"s-write{n}", "write") for n in (1, 2)]
    discovery.tell(*engines)
    hook = Path(rig.folder) / "hook.rhai"
    hook.write_text(HOOK.replace("LOOKS", "3").replace("STEP", "0" if TROUBLE else "1"))
    gateway = rig.gateway("n1", discovery, arguments=f"--plugin {hook}")
    await gateway.ready()

    async def ask(number):
        one = Client(rig.record, gateway.config["listen"], kind=("order-chat", "item-query")[number % 2])
        found = await asyncio.wait_for(one.ask(deadline=DEADLINE_S), 45)
        one.close()
        return found

    asking = []
    for number in range(REQUESTS):
        asking.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(APART_S)
    answers = await asyncio.gather(*asking, return_exceptions=True)
    breaks, late = [], []
    for found in answers:
        if isinstance(found, BaseException):
            breaks.append(f"a request has no answer after 45 s: {found!r}")
        elif found.head_after is None or found.head_after > LATEST_S:
            late.append(found)
    for found in late:
        when = "never" if found.head_after is None else f"{found.head_after:.2f} s after it was sent"
        breaks.append(f"request {found.request} got its answer ({found.status}) {when}; {LATEST_S:.2f} s are allowed")
    return breaks


play(HERE, case, limit=110)
