// The operator changes the time-out of one route, and later makes an ordinary
// change. Both must be acknowledged. Then a primary crashes and must be replaced.
import {setTimeout as sleep} from 'node:timers/promises';
import {TROUBLE, recordWork, runCase} from '../lib/case.mjs';
import {Group} from '../lib/members.mjs';
import {configuration} from '../lib/system.mjs';
import {Workload} from '../lib/workload.mjs';

const MEMBERS = 3;
const ENTRIES = 2;
/** The versions: at the start, with another time-out, and an ordinary one. */
const VERSIONS = [7, 9, 12];
/** A quarter of an hour, for a route with long reports. */
const NEXT_TIMEOUT_MS = TROUBLE ? 900_000 : 9_000;
/** `ack_ms` of both sites, with 3 ms more for each route. */
const ACK_MS = 5_000;
const ROUTE_MS = 3;
/** The operator goes on for this long, to show that it isn't just late. */
const SEND_MS = 12_000;
const BACKOFF_MS = 300;
const CALM_MS = 5_000;
const OUTAGE_MS = 20_000;
/** A primary is usually replaced within two seconds. */
const FAILOVER_MS = 10_000;

/** Sends a change until it is acknowledged; returns how long that took. */
async function change(system, document) {
  const from = Date.now();
  while (Date.now() - from < SEND_MS) {
    if (await system.configure(document)) return Date.now() - from;
    await sleep(BACKOFF_MS);
  }
  return Infinity;
}

/** Sends both changes; returns those without an acknowledgement in time. */
async function changeTwice(system) {
  const first = configuration(VERSIONS[1], ['ledger']);
  const isReading = ({route_kind: kind}) => kind === 'bounded_staleness';
  first.routes.find(isReading).timeout_ms = NEXT_TIMEOUT_MS;
  const second = configuration(VERSIONS[2], ['ledger']);
  const late = [];
  for (const document of [first, second]) {
    const {version, routes} = document;
    const milliseconds = await change(system, document);
    const limit = ACK_MS + ROUTE_MS * routes.length;
    system.record('acknowledged after', {version, milliseconds});
    if (milliseconds > limit) {
      late.push({version, milliseconds: String(milliseconds)});
    }
  }
  return late;
}

/** Returns how many writes were sent and served in a span. */
function served({statements}, from) {
  const sent = statements.filter(
    ({sentAt, text}) => sentAt >= from && text.startsWith('WRITE'),
  );
  const done = sent.filter(({end}) => end?.startsWith('COMPLETE'));
  return {sent: sent.length, served: done.length};
}

await runCase(import.meta.url, {entries: ENTRIES}, async system => {
  const group = new Group('ledger', {record: system.record});
  for (let index = 0; index < MEMBERS; index++) {
    await group.add(`i-${index}`, ...system.memberPlace(index));
  }
  await system.start([group], configuration(VERSIONS[0], ['ledger']));
  const load = new Workload(system, {pauseMs: 100});
  for (let entry = 0; entry < ENTRIES; entry++) {
    load.start(entry, 'ledger', 'primary', {count: 3});
    load.start(entry, 'ledger', 'read_your_writes', {count: 3, writes: 0.2});
  }
  await sleep(CALM_MS);
  const late = await changeTwice(system);
  const crashedAt = Date.now();
  system.record('writes served before', served(load, 0));
  group.leader.crash();
  await sleep(OUTAGE_MS);
  await load.stop();
  recordWork(system, load, [group]);
  const after = served(load, crashedAt + FAILOVER_MS);
  const promotions = system.promotionCalls.length;
  system.record('writes 10 s after the crash and later', {
    ...after,
    promotions,
  });
  return {Acks: late};
});
