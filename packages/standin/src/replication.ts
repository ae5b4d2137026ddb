import {request, Agent} from 'node:http';
import {Logger} from '@apricotlock/logging';
import {
  formatPosition,
  parsePosition,
  Position,
  POSITION_ZERO,
} from '@apricotlock/session';
import {TimerService} from '@apricotlock/timer';
import {LogRecord} from './change.js';
import {FaultGate} from './fault_gate.js';
import {LogSource, MemberRuntime} from './member_runtime.js';
import {recordFromJson} from './member_store.js';

const RETRY_INTERVAL_MILLISECONDS = 20;
const REQUEST_TIMEOUT_MILLISECONDS = 1_500;
/** Number of records compared per request, and applied per batch. */
const RECORDS_PER_BATCH = 500;

/** Options of {@link replicate}. */
export interface ReplicationOptions {
  readonly runtime: MemberRuntime;
  readonly timer: TimerService;
  readonly gate: FaultGate;
  readonly key: string;
  readonly logger: Logger;
}

/** The term and end of a record, by which two logs are compared. */
export interface LogBoundary {
  readonly term: number;
  readonly position: string;
}

/** Fetches the log of the primary that the member follows; never returns. */
export async function replicate(options: ReplicationOptions): Promise<void> {
  const {runtime, timer, gate} = options;
  for (;;) {
    const source = await runtime.source.waitUntil(value => value !== undefined);
    await gate.waitUntilOpen();
    if (source === undefined || runtime.source.current !== source) continue;
    const progressed = await followOnce(source, options).catch(() => false);
    if (!progressed) await timer.sleep(RETRY_INTERVAL_MILLISECONDS);
  }
}

/** Applies stored records after the member's apply delay; never returns. */
export async function applyRecords(
  runtime: MemberRuntime,
  timer: TimerService,
): Promise<void> {
  for (;;) {
    await runtime.status.waitUntil(
      status => status.role === 'replica' && status.received > status.applied,
    );
    const {database, delays} = runtime;
    const batch = database.log.recordsAfter(
      database.applied,
      RECORDS_PER_BATCH,
    );
    if (delays.apply > 0) await timer.sleep(delays.apply);
    for (const record of batch) applyIfNext(runtime, record);
  }
}

function applyIfNext(runtime: MemberRuntime, record: LogRecord): void {
  const [next] = runtime.database.log.recordsAfter(runtime.database.applied, 1);
  if (next === record) runtime.apply(record);
}

async function followOnce(
  source: LogSource,
  options: ReplicationOptions,
): Promise<boolean> {
  const {runtime} = options;
  if (!runtime.isLogPrefixOf(source)) {
    const match = await matchLogs(source, options);
    if (match === undefined || runtime.source.current !== source) return false;
    runtime.adoptHistory(source, match.common, match.end);
  }
  const after = runtime.database.log.end;
  const records = await fetchRecords(source, after, options);
  if (records === undefined) return false;
  const {receive} = runtime.delays;
  if (receive > 0) await options.timer.sleep(receive);
  await options.gate.waitUntilOpen();
  // The member may have been fenced while the records were in transit.
  const isCurrent = runtime.source.current === source;
  if (!isCurrent || runtime.database.log.end !== after) return true;
  runtime.receive(records);
  return true;
}

/** The end of the common prefix of two logs, and the end of the primary's. */
interface LogMatch {
  readonly common: Position;
  readonly end: Position;
}

async function matchLogs(
  source: LogSource,
  options: ReplicationOptions,
): Promise<LogMatch | undefined> {
  const boundaries = [...options.runtime.database.log.all]
    .reverse()
    .map(record => ({
      term: record.term,
      position: formatPosition(record.position),
    }));
  for (let start = 0; ; start += RECORDS_PER_BATCH) {
    const batch = boundaries.slice(start, start + RECORDS_PER_BATCH);
    const body = {term: source.term, boundaries: batch};
    const response = await post(source, '/v1/log/common', body, options);
    if (response === undefined) return undefined;
    const {common, end} = response as {
      readonly common: string | null;
      readonly end: string;
    };
    if (common === null && batch.length > 0) continue;
    return {
      common:
        common === null ? POSITION_ZERO : parsePosition(common).unsafeCoerce(),
      end: parsePosition(end).unsafeCoerce(),
    };
  }
}

async function fetchRecords(
  source: LogSource,
  after: Position,
  options: ReplicationOptions,
): Promise<readonly LogRecord[] | undefined> {
  const body = {term: source.term, after: formatPosition(after)};
  const response = await post(source, '/v1/log/records', body, options);
  if (response === undefined) return undefined;
  const {records} = response as {
    readonly records: ReadonlyArray<Parameters<typeof recordFromJson>[0]>;
  };
  return records.map(recordFromJson);
}

const agent = new Agent({keepAlive: true});

function post(
  source: LogSource,
  path: string,
  body: object,
  options: ReplicationOptions,
): Promise<unknown> {
  return new Promise(resolve => {
    const outgoing = request(
      {
        host: source.host,
        port: source.port,
        path,
        method: 'POST',
        agent,
        timeout: REQUEST_TIMEOUT_MILLISECONDS,
        headers: {authorization: `Bearer ${options.key}`},
      },
      response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => resolve(undefined));
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve(response.statusCode === 200 ? JSON.parse(text) : undefined);
        });
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(undefined));
    outgoing.end(JSON.stringify(body));
  });
}
