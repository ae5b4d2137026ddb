import {readFileSync, writeFileSync} from 'node:fs';
import {SystemTimerService} from '@apricotlock/timer';
import {projectionTable} from './capacity_projection.js';
import {measureSessionMemory} from './capacity_sessions.js';
import {measureStatementCost, measureWriteCost} from './capacity_statements.js';
import {Caller} from './caller.js';
import {measureViews} from './capacity_views.js';
import {measureWatching} from './capacity_watching.js';
import {createLayout, Profile, PROFILES} from './layout.js';
import {measurementOrigin} from './measurement_page.js';
import {Slope, slopeTable} from './slope.js';
import {SystemUnderTest} from './system_under_test.js';

const BASE_PORT = 18_400;
const PAGE_PATH = 'docs/CAPACITY.md';
const BEGIN_MARK = '<!-- measured: begin -->';
const END_MARK = '<!-- measured: end -->';

const timer = SystemTimerService.create();
/** One data centre only, so that any VM may own any member. */
const small: Profile = {
  ...PROFILES.bonanno,
  dataCentres: ['catania'],
  databases: ['booking-ledger-1'],
  entryMachines: 1,
};

const slopes: readonly Slope[] = [
  ...measureViews(timer),
  ...(await measureWatching(small, BASE_PORT, timer)),
  await measureWriters(),
  ...(await measureCallers()),
];
writePage(slopes);
process.exit(0);

async function measureWriters(): Promise<Slope> {
  const profile: Profile = {
    ...small,
    entryMachines: 2,
    dataCentres: ['catania', 'palermo'],
  };
  const system = await SystemUnderTest.start(
    createLayout(profile, BASE_PORT),
    timer,
  );
  try {
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
    const [database] = profile.databases;
    const caller = Caller.create(
      database as string,
      database as string,
      system.machine(0).callerAddress,
      timer,
    );
    await caller.run('CREATE TABLE written (id text PRIMARY KEY)');
    await caller.close();
    return await measureWriteCost(system, timer);
  } finally {
    await system.stop();
  }
}

async function measureCallers(): Promise<readonly Slope[]> {
  const twoCentres: Profile = {
    ...small,
    entryMachines: 2,
    membersPerDatabase: 1,
    dataCentres: ['catania', 'palermo'],
  };
  const system = await SystemUnderTest.start(
    createLayout(twoCentres, BASE_PORT),
    timer,
  );
  try {
    const entries = system.catalogueEntries();
    await system.putFirstCatalogue(entries);
    await system.waitForDatabases();
    // Measured before the load, whose heap growth would hide what sessions add.
    const sessions = await measureSessionMemory(system, timer);
    return [sessions, ...(await measureStatementCost(system, timer))];
  } finally {
    await system.stop();
  }
}

function writePage(measured: readonly Slope[]): void {
  const page = readFileSync(PAGE_PATH, 'utf8');
  const begin = page.indexOf(BEGIN_MARK) + BEGIN_MARK.length;
  const end = page.indexOf(END_MARK);
  const parts = [
    measurementOrigin(),
    slopeTable(measured),
    '### Worked out for 1,800 VMs and 2,400 databases',
    projectionTable(measured),
  ];
  const middle = `\n\n${parts.join('\n\n')}\n\n`;
  writeFileSync(PAGE_PATH, page.slice(0, begin) + middle + page.slice(end));
}
