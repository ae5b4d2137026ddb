import {Slope, SlopeName} from './slope.js';

// Target size of the system, as the requirements state it.
const VIRTUAL_MACHINES = 1_800;
const DATABASES = 2_400;
const CLIENT_CONNECTIONS = 7_600_000;
const STATEMENTS_PER_SECOND = 1_800_000;
const CHANGES_PER_DAY = 1_600;
const SECONDS_PER_DAY = 86_400;
const MEMBERS_PER_DATABASE = 3;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MEBIBYTE = 2 ** 20;

/** Limits on what control may cost each VM. */
const CONTROL_LIMITS = {
  processorPercent: 2.6,
  memoryMebibytes: 128,
  bytesPerSecond: 3_000,
} as const;

/** One projected cost of a VM in a system of the target size. */
interface Projection {
  readonly role: string;
  readonly what: string;
  readonly mechanism: string;
  readonly value: number;
  readonly unit: string;
  /** `undefined` where the requirements state no limit. */
  readonly limit: number | undefined;
}

/** Projects the slopes to the target size and returns a Markdown table. */
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
  const statements = STATEMENTS_PER_SECOND / VIRTUAL_MACHINES;
  const memory = findSlope(slopes, 'memory of an idle session');
  const callerTime = findSlope(
    slopes,
    'processor time of a statement on the caller’s VM, owner elsewhere',
  );
  return [
    {
      role: 'entry VM',
      what: `memory of ${Math.round(sessions)} callers’ sessions`,
      mechanism: 'one task for each connection; no state shared',
      value: (sessions * memory) / BYTES_PER_MEBIBYTE,
      unit: 'MiB',
      limit: undefined,
    },
    {
      role: 'entry VM',
      what: `${Math.round(statements)} statements a second, owner elsewhere`,
      mechanism: 'relayed as bytes over one link for each owner',
      value: percentOfCore(statements * callerTime),
      unit: '% of a core',
      limit: undefined,
    },
  ];
}

function ownerProjections(slopes: readonly Slope[]): readonly Projection[] {
  const statements = STATEMENTS_PER_SECOND / VIRTUAL_MACHINES;
  const databases = watchedDatabasesPerOwner();
  const ownerTime = findSlope(
    slopes,
    'processor time of a statement on the owner’s VM',
  );
  const time = findSlope(
    slopes,
    'processor time a second of watching a database',
  );
  const bytes = findSlope(slopes, 'bytes a second of watching a database');
  return [
    {
      role: 'member owner',
      what: `${Math.round(statements)} statements a second for others`,
      mechanism: 'one pool and one queue for each owned member',
      value: percentOfCore(statements * ownerTime),
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
      limit: CONTROL_LIMITS.bytesPerSecond,
    },
  ];
}

function controlProjections(slopes: readonly Slope[]): readonly Projection[] {
  const size =
    DATABASES * findSlope(slopes, 'bytes of a view for each database');
  const memory = findSlope(slopes, 'memory of a view for each database');
  const time = findSlope(
    slopes,
    'processor time to take a view for each database',
  );
  const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY;
  return [
    {
      role: 'every VM',
      what: 'memory of the view of all databases',
      mechanism: 'one immutable view; a change shares what it did not change',
      value: (DATABASES * memory) / BYTES_PER_MEBIBYTE,
      unit: 'MiB',
      limit: CONTROL_LIMITS.memoryMebibytes,
    },
    {
      role: 'every VM',
      what: 'taking whole views for every catalogue change of a day',
      mechanism:
        'the worst case of the fan-out: a full view instead of a delta',
      value: size * changesPerSecond,
      unit: 'bytes a second',
      limit: CONTROL_LIMITS.bytesPerSecond,
    },
    {
      role: 'every VM',
      what: 'decoding those views',
      mechanism: 'as above',
      value: percentOfCore(DATABASES * time * changesPerSecond),
      unit: '% of a core',
      limit: CONTROL_LIMITS.processorPercent,
    },
  ];
}

/**
 * Returns how many database groups the owner of an average number of members
 * watches if each of its members belongs to a different group.
 */
function watchedDatabasesPerOwner(): number {
  return Math.ceil((DATABASES * MEMBERS_PER_DATABASE) / VIRTUAL_MACHINES);
}

function findSlope(slopes: readonly Slope[], name: SlopeName): number {
  const slope = slopes.find(candidate => candidate.name === name);
  if (slope === undefined) throw new Error(`slope was not measured: "${name}"`);
  return slope.fit.slope;
}

function percentOfCore(microsecondsPerSecond: number): number {
  return (microsecondsPerSecond / MICROSECONDS_PER_SECOND) * 100;
}

function projectionLine(projection: Projection): string {
  const {role, what, mechanism, value, unit, limit} = projection;
  const shown = `${Number(value.toPrecision(3))} ${unit}`;
  const bound = limit === undefined ? 'none stated' : `${limit} ${unit}`;
  const met = limit === undefined ? '' : value <= limit ? 'yes' : 'MISSING';
  const cells = [role, what, mechanism, shown, bound, met];
  return `| ${cells.join(' | ')} |`;
}
