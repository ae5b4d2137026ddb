import {Slope, SlopeName} from './slope.js';

const VIRTUAL_MACHINES = 1_800;
const DATABASES = 2_400;
const CLIENT_CONNECTIONS = 7_600_000;
const STATEMENTS_A_SECOND = 1_800_000;
const CHANGES_A_DAY = 1_600;
const SECONDS_A_DAY = 86_400;
const MEMBERS_A_DATABASE = 3;
const MICROSECONDS_A_SECOND = 1_000_000;
const BYTES_A_MEBIBYTE = 2 ** 20;

/** What control may cost each VM. */
const CONTROL_LIMITS = {
  processorPercent: 2.6,
  memoryMebibytes: 128,
  bytesASecond: 3_000,
} as const;

/** One line of what the direction's size asks of a VM. */
interface Projection {
  readonly role: string;
  readonly what: string;
  readonly mechanism: string;
  readonly value: number;
  readonly unit: string;
  /** `undefined` where the direction states no limit. */
  readonly limit: number | undefined;
}

/** Works the direction's size out of the slopes, as a table. */
export function projectionTable(slopes: readonly Slope[]): string {
  const lines = [
    '| role | what | mechanism | value | limit | met |',
    '|---|---|---|---|---|---|',
    ...projections(slopes).map(projectionLine),
  ];
  return lines.join('\n');
}

function projections(slopes: readonly Slope[]): readonly Projection[] {
  return [
    ...callerProjections(slopes),
    ...ownerProjections(slopes),
    ...controlProjections(slopes),
  ];
}

function callerProjections(slopes: readonly Slope[]): readonly Projection[] {
  const sessions = CLIENT_CONNECTIONS / VIRTUAL_MACHINES;
  const statements = STATEMENTS_A_SECOND / VIRTUAL_MACHINES;
  const memory = slopeOf(slopes, 'memory of an idle session');
  const here = slopeOf(
    slopes,
    'processor time of a statement on the caller’s VM, owner elsewhere',
  );
  return [
    {
      role: 'entry VM',
      what: `memory of ${Math.round(sessions)} callers’ sessions`,
      mechanism: 'one task for each connection; no state shared',
      value: (sessions * memory) / BYTES_A_MEBIBYTE,
      unit: 'MiB',
      limit: undefined,
    },
    {
      role: 'entry VM',
      what: `${Math.round(statements)} statements a second, owner elsewhere`,
      mechanism: 'relayed as bytes over one link for each owner',
      value: percentOfCore(statements * here),
      unit: '% of a core',
      limit: undefined,
    },
  ];
}

function ownerProjections(slopes: readonly Slope[]): readonly Projection[] {
  const statements = STATEMENTS_A_SECOND / VIRTUAL_MACHINES;
  const databases = watchedDatabases();
  const owner = slopeOf(
    slopes,
    'processor time of a statement on the owner’s VM',
  );
  const time = slopeOf(
    slopes,
    'processor time a second of watching a database',
  );
  const bytes = slopeOf(slopes, 'bytes a second of watching a database');
  return [
    {
      role: 'member owner',
      what: `${Math.round(statements)} statements a second for others`,
      mechanism: 'one pool and one queue for each owned member',
      value: percentOfCore(statements * owner),
      unit: '% of a core',
      limit: undefined,
    },
    {
      role: 'member owner',
      what: `watching ${databases} idle databases`,
      mechanism: 'one long poll for each member of a group of an owned member',
      value: percentOfCore(databases * time),
      unit: '% of a core',
      limit: CONTROL_LIMITS.processorPercent,
    },
    {
      role: 'member owner',
      what: `watching ${databases} idle databases`,
      mechanism: 'one long poll for each member of a group of an owned member',
      value: databases * bytes,
      unit: 'bytes a second',
      limit: CONTROL_LIMITS.bytesASecond,
    },
  ];
}

function controlProjections(slopes: readonly Slope[]): readonly Projection[] {
  const size = DATABASES * slopeOf(slopes, 'bytes of a view for each database');
  const memory = slopeOf(slopes, 'memory of a view for each database');
  const time = slopeOf(
    slopes,
    'processor time to take a view for each database',
  );
  const changesASecond = CHANGES_A_DAY / SECONDS_A_DAY;
  return [
    {
      role: 'every VM',
      what: 'memory of the view of all databases',
      mechanism: 'one immutable view; a change shares what it did not change',
      value: (DATABASES * memory) / BYTES_A_MEBIBYTE,
      unit: 'MiB',
      limit: CONTROL_LIMITS.memoryMebibytes,
    },
    {
      role: 'every VM',
      what: 'taking whole views for every catalogue change of a day',
      mechanism:
        'the worst case of the fan-out: a full view instead of a delta',
      value: size * changesASecond,
      unit: 'bytes a second',
      limit: CONTROL_LIMITS.bytesASecond,
    },
    {
      role: 'every VM',
      what: 'decoding those views',
      mechanism: 'as above',
      value: percentOfCore(DATABASES * time * changesASecond),
      unit: '% of a core',
      limit: CONTROL_LIMITS.processorPercent,
    },
  ];
}

/** Groups that the owner of four members watches, if all are different. */
function watchedDatabases(): number {
  return Math.ceil((DATABASES * MEMBERS_A_DATABASE) / VIRTUAL_MACHINES);
}

function slopeOf(slopes: readonly Slope[], name: SlopeName): number {
  const slope = slopes.find(candidate => candidate.name === name);
  if (slope === undefined) throw new Error(`no slope "${name}"`);
  return slope.fit.slope;
}

function percentOfCore(microsecondsASecond: number): number {
  return (microsecondsASecond / MICROSECONDS_A_SECOND) * 100;
}

function projectionLine(projection: Projection): string {
  const {role, what, mechanism, value, unit, limit} = projection;
  const shown = `${Number(value.toPrecision(3))} ${unit}`;
  const bound = limit === undefined ? 'none stated' : `${limit} ${unit}`;
  const met = limit === undefined ? '' : value <= limit ? 'yes' : 'MISSING';
  const cells = [role, what, mechanism, shown, bound, met];
  return `| ${cells.join(' | ')} |`;
}
