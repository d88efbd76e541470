"""A client writes a request slowly while others of its requests are open on the same connection."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig"))
from rig import ChangeLog, Client, Controller, Engine, main, make_settings, request_class, server_entry  # noqa: E402

CLIENTS = 4
REPORTS = 3  # Open on each connection while the next request is written.
REPORT_MS = 4000  # Work of a report; its client waits 20 s.
WRITE_SECONDS = 2.0  # From the first to the last byte of the slow request, which are about 190 bytes.
PIECES = 20


async def write_slowly(client, frame):
    for piece in range(PIECES):
        if client.closed_at is not None:
            return False
        client.writer.write(frame[len(frame) * piece // PIECES:len(frame) * (piece + 1) // PIECES])
        if piece + 1 < PIECES:
            await asyncio.sleep(WRITE_SECONDS / (PIECES - 1))
    return client.closed_at is None


async def play_client(client, trouble, requests):
    for number in range(REPORTS):
        sequence, ident = client.submit("report", "select * from stock_%d.shelves /* ms=%d */" % (number, REPORT_MS),
                                        20000, REPORT_MS)
        requests.append((client, sequence, ident, 20.0))
    await asyncio.sleep(0.3)
    sequence, ident, frame = client.frame("look-up", "select * from stock_9.shelves /* ms=100 */", 4000, 100)
    client.record("client %s: begins to write request %d, id %s" % (client.name, sequence, ident))
    written = True
    if trouble:
        written = await write_slowly(client, frame)
    else:
        client.writer.write(frame)
    if written:
        client.note_sent(sequence, ident)
        requests.append((client, sequence, ident, 4.0))


async def play(record, folder, trouble):
    change_log = await ChangeLog(record).start()
    engines = [await Engine(record, "e%d" % number).start() for number in range(3)]
    change_log.add([server_entry("s-%d" % number, engine.address, kind="std-16")
                    for number, engine in enumerate(engines)], full=True)
    classes = [request_class("look-up", 800000, 4000000),
               request_class("report", 1500000, 20000000, worth=7.5, late_worth=0.3)]
    settings = make_settings(classes, [1, 3], machineTypes=["std-16"], familyInfo={"kindCores": [16]})
    controller = Controller(record, folder)
    controller.write_config(change_log.address, settings, change_log.known())
    try:
        await controller.start()
        clients = [await Client(record, "c%d" % number).connect(controller.address) for number in range(CLIENTS)]
        requests = []
        await asyncio.gather(*[play_client(client, trouble, requests) for client in clients])
        # Every request that was written whole and whose client is still there is owed one final answer.
        for client, sequence, _, allowed in requests:
            await client.wait_answer(sequence, client.sent[sequence][0] + allowed + 0.5 - time.time())
        await asyncio.sleep(0.5)
        breaks = []
        for client, sequence, ident, _ in requests:
            count = len(client.answers.get(sequence, []))
            if count == 0:
                breaks.append("request %s of client %s was taken, and its connection was closed with no answer, "
                              "%.2f s after it was sent" % (ident, client.name,
                                                            (client.closed_at or time.time()) - client.sent[sequence][0]))
            elif count > 1:
                breaks.append("request %s has %d answers" % (ident, count))
        return breaks
    finally:
        await controller.end()


main(FOLDER, play)
