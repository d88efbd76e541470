"""Controllers stand still for 1.9 s. Requests that arrive meanwhile get no answer in time, and attempts begin for
clients that left meanwhile."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig"))
from rig import ChangeLog, Client, Controller, Engine, main, make_settings, request_class, say, server_entry  # noqa: E402

CONTROLLERS = 4
STALLED = 3  # Of the controllers, each at a time of its own.
ENGINES = 6
ROUNDS = 3
STALL_SECONDS = 1.9
REPORTS = 40  # A round sends so many to a controller, within 0.2 s; some start and some wait in its queue.
LEAVE_AFTER = 0.3  # From the start of the stall until the clients of the reports leave.
GONE_SLACK = 0.1 + 0.05  # An attempt may begin 0.1 s after its client has gone, and 50 ms more on sockets.
LOOKUPS = 3  # Sent while the controller stands still, by clients that stay.
LOOKUPS_AFTER = 0.1  # From the start of the stall.
LOOKUP_ALLOW = 2.5
LOOKUP_MS = 6000  # A look-up that runs longer than its client waits: it has to be answered as refused or failed.
LATE_SLACK = 0.5 + 0.05  # A final answer may come 0.5 s after the request's time, and 50 ms more on sockets.


async def send_lookups(client, late):
    """Sends look-ups whose clients wait to the end, and notes those that got no final answer by then."""
    for index in range(LOOKUPS):
        client.submit("look-up", "select * from shop_%d.stock /* ms=%d */" % (50 + index, LOOKUP_MS),
                      int(LOOKUP_ALLOW * 1000))
    sent = time.time()
    await asyncio.sleep(LOOKUP_ALLOW + LATE_SLACK)
    for sequence, (_, ident) in list(client.sent.items()):
        if sequence not in client.answers:
            late.append("request %s has no final answer %.2f s after it was sent; it allows %.1f s" %
                        (ident, time.time() - sent, LOOKUP_ALLOW))
            client.record("client %s: request %d has no answer in time" % (client.name, sequence))


async def play_controller(controller, number, trouble, gone, late):
    name = "c%d" % number
    earlier = [await Client(controller.record, name + ".w%d" % index).connect(controller.address) for index in range(2)]
    for _ in range(2):  # Ordinary traffic before, which leaves idle connections to the engines.
        for index in range(60):
            earlier[index % 2].submit("look-up", "select * from shop_%d.stock /* ms=150 */" % index, 2500)
        await asyncio.sleep(1.2)
    for client in earlier:
        client.close()
    await asyncio.sleep(0.25 * number)
    for turn in range(ROUNDS):
        clients = [await Client(controller.record, "%s.%d%s" % (name, turn, letter)).connect(controller.address)
                   for letter in "ab"]
        staying = await Client(controller.record, "%s.%ds" % (name, turn)).connect(controller.address)
        for index in range(REPORTS):
            clients[index % 2].submit("report", "select * from shop_%d.sales /* ms=2500 */" % index, 25000)
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        stalls = trouble and number < STALLED
        if stalls:
            controller.signal(signal.SIGSTOP)
        await asyncio.sleep(LOOKUPS_AFTER)
        lookups = asyncio.ensure_future(send_lookups(staying, late))
        await asyncio.sleep(LEAVE_AFTER - LOOKUPS_AFTER)
        for client in clients:
            for sequence, (_, ident) in list(client.sent.items()):
                if sequence not in client.answers:
                    client.revoke(sequence)
                    gone[ident] = time.time()
        await asyncio.sleep(STALL_SECONDS - LEAVE_AFTER)
        if stalls:
            controller.signal(signal.SIGCONT)
        await lookups
        await asyncio.sleep(4.0)  # All that was begun has ended.
        for client in [*clients, staying]:
            client.close()


async def play(record, folder, trouble):
    change_log = await ChangeLog(record).start()
    engines = [await Engine(record, "e%d" % number).start() for number in range(ENGINES)]
    change_log.add([server_entry("s-%d" % number, engine.address) for number, engine in enumerate(engines)], full=True)
    classes = [request_class("look-up", 500000, 2500000, aimStretch=1.5),
               request_class("report", 3000000, 25000000, worth=10.0, late_worth=0.4, aimStretch=2.5)]
    settings = make_settings(classes, [1, 3], balancers=CONTROLLERS, rules={"drainGraceUs": 500000},
                             limits={"cancelling": False, "parallelTries": False, "mostTries": 3})
    controllers = [Controller(record, folder, "n%d" % number) for number in range(CONTROLLERS)]
    gone = {}  # id -> when its client left
    late = []
    try:
        for number, controller in enumerate(controllers):
            controller.write_config(change_log.address, dict(settings, me=number), change_log.known())
        await asyncio.gather(*[controller.start() for controller in controllers])
        await asyncio.gather(*[play_controller(controller, number, trouble, gone, late)
                               for number, controller in enumerate(controllers)])
        unwanted = []
        for engine in engines:
            for begun, ident in engine.asks:
                if ident in gone and begun > gone[ident] + GONE_SLACK:
                    unwanted.append("engine %s got the request %s %.2f s after its client had left, and ran it %s" %
                                    (engine.name, ident, begun - gone[ident],
                                     "to the end" if engine.runs.get(ident) else "in part"))
        say("%d requests whose clients waited, %d without an answer in time; "
              "%d requests whose clients left, %d attempts begun for them later" %
              (CONTROLLERS * ROUNDS * LOOKUPS, len(late), len(gone), len(unwanted)))
        return late + unwanted
    finally:
        await asyncio.gather(*[controller.end() for controller in controllers])


main(FOLDER, play)
