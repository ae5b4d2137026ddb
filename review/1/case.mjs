// The primary of a service is to be replaced. The zone of its successor is cut off
// after the platform has accepted the promotion and before control has seen that it
// took effect.
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {TROUBLE, recordWork, runCase} from '../lib/case.mjs';
import {check} from '../lib/checks.mjs';
import {Group} from '../lib/members.mjs';
import {configuration} from '../lib/system.mjs';
import {Workload} from '../lib/workload.mjs';

const SERVICES = ['ledger-a'];
const MEMBERS = 3;
const ENTRIES = 3;
/** The members stand in z0, z1 and z2; no machine stands in z1. */
const MACHINE_ZONES = ['z0', 'z2', 'z3'];
/** Clients of each service at each entry machine; all of them write. */
const WRITERS = 12;
/** `promote_ms` of the site kahu-filters. */
const PROMOTE_MS = 1_000;
const CALM_MS = 3_000;
/** From the first promotion call to the cut. */
const CUT_AFTER_MS = 300;
/** Standard days have cuts of a zone of 5.1 to 6.4 s. */
const CUT_MS = 5_500;
const PLAY_MS = 14_000;

const options = {entries: ENTRIES, zones: MACHINE_ZONES};
await runCase(import.meta.url, options, async system => {
  const groups = await startMembers(system);
  await system.start(groups, configuration(7, SERVICES));
  const load = new Workload(system, {pauseMs: 20});
  for (let entry = 0; entry < ENTRIES; entry++) {
    for (const service of SERVICES) {
      const only = {count: WRITERS, writes: 1, transactions: 0};
      load.start(entry, service, 'primary', only);
    }
  }
  await sleep(CALM_MS);
  if (TROUBLE) cutZoneOfSuccessors(system, groups);
  for (const {leader} of groups) {
    leader.state = 'draining';
    system.record('member says that it leaves', {member: leader.id});
    void system.heartbeat(leader);
  }
  await sleep(PLAY_MS);
  await load.stop();
  recordWork(system, load, groups);
  return checkAll(groups, load);
});

/** Starts the members; the first of each service is its primary. */
async function startMembers(system) {
  const groups = [];
  for (const service of SERVICES) {
    const {record} = system;
    const group = new Group(service, {promoteMs: PROMOTE_MS, record});
    for (let index = 0; index < MEMBERS; index++) {
      const place = system.memberPlace(groups.length * MEMBERS + index);
      const zone = `z${index}`;
      await group.add(`${service}-${index}`, ...place, {zone});
    }
    groups.push(group);
  }
  return groups;
}

/** Cuts the zone of the members that are to be promoted, once, for a while. */
function cutZoneOfSuccessors(system, groups) {
  system.onPromotionCall = ({id}) => {
    system.onPromotionCall = undefined;
    const members = groups.flatMap(group => group.members);
    const {zone} = members.find(each => each.id === id);
    const inZone = members.filter(each => each.zone === zone);
    const set = dark => {
      for (const member of inZone) member.dark = dark;
      system.record(dark ? 'zone cut off' : 'zone joined', {zone});
    };
    setTimeout(() => set(true), CUT_AFTER_MS);
    setTimeout(() => set(false), CUT_AFTER_MS + CUT_MS);
  };
}

function checkAll(groups, load) {
  const found = {};
  for (const group of groups) {
    const {attempts, statements} = load;
    const own = attempts.filter(({client}) => client.service === group.service);
    const result = check(group, {attempts: own, statements});
    for (const [rule, cases] of Object.entries(result)) {
      found[rule] = [...(found[rule] ?? []), ...cases];
    }
  }
  return found;
}
