import {randomUUID} from 'node:crypto';
import {AuditRange, AuditRecord, ControlReport} from '@apricotlock/control';
import {ServerReport, StatusReport} from '@apricotlock/operator';
import {ChangeFlags, reportChange} from './catalogue_commands.js';
import {
  answerOrExit,
  createClient,
  CommonFlags,
  exitWith,
} from './command_context.js';
import {ExitCode} from './exit_code.js';
import {OutputTable, writeAnswer} from './output.js';

/** Prints the databases as known to the VM at `flags.address`. */
export async function showStatus(flags: CommonFlags): Promise<void> {
  const status = answerOrExit(await createClient(flags).status());
  writeAnswer(flags.output, status, {
    columns: ['DATABASE', 'TERM', 'PRIMARY', 'MEMBERS'],
    rows: status.databases.map(database => [
      database.database,
      String(database.term),
      database.primary ?? '(none)',
      `${database.members}/${database.size}`,
    ]),
  });
}

/** Prints the backend servers. */
export async function listServers(flags: CommonFlags): Promise<void> {
  const servers = answerOrExit(await createClient(flags).servers());
  writeAnswer(flags.output, servers, {
    columns: ['SERVER', 'DATABASE', 'DATA CENTRE', 'ROLE', 'STATE', 'OWNER'],
    rows: servers.map(serverRow),
  });
}

/** Drains, removes or reactivates a backend server. */
export async function changeServer(
  flags: ChangeFlags & {readonly name: string},
  action: 'drain' | 'remove' | 'activate',
): Promise<void> {
  const changeId = flags.changeId ?? randomUUID();
  const report = answerOrExit(
    await createClient(flags).changeServer(
      flags.name,
      action,
      changeId,
      flags.wait,
    ),
  );
  reportChange(flags, report);
}

/**
 * Prints the entry VMs and control VMs, and in table output how many more
 * control VMs may be lost.
 */
export async function listMachines(flags: CommonFlags): Promise<void> {
  const client = createClient(flags);
  const status = answerOrExit(await client.status());
  // Without a quorum no control report is available. The list is still printed,
  // as it is most useful then.
  const control = (await client.control()).toMaybe().extract();
  const answer = {machines: status.machines, control: control ?? null};
  writeAnswer(flags.output, answer, machineTable(status, control));
  if (flags.output === 'table') process.stdout.write(formatMargin(control));
}

/** Asks an entry VM to drain and shut down. */
export async function drainMachine(
  flags: CommonFlags & {readonly name: string},
): Promise<void> {
  const report = answerOrExit(
    await createClient(flags).drainMachine(flags.name),
  );
  writeAnswer(flags.output, report, {
    columns: ['RESULT'],
    rows: [[report.result]],
  });
}

/** Prints the audit records after the index, or from the time, `flags.since`. */
export async function showAudit(
  flags: CommonFlags & {readonly since: string},
): Promise<void> {
  const range = parseSince(flags.since);
  if (range === undefined) {
    exitWith(
      ExitCode.USAGE,
      `--since: "${flags.since}" is not an index or a time`,
    );
  }
  const trail = answerOrExit(await createClient(flags).audit(range));
  writeAnswer(flags.output, trail, {
    columns: ['INDEX', 'TIME', 'ACTOR', 'ACTION', 'SUBJECT', 'FROM', 'RESULT'],
    rows: trail.records.map(auditRow),
  });
}

/**
 * Parses an index of the log, or a time such as `2026-12-03T20:00Z`. Returns
 * `undefined` if the text is neither.
 */
export function parseSince(text: string): AuditRange | undefined {
  if (/^[0-9]+$/.test(text)) return {afterIndex: Number(text), from: 0};
  const from = Date.parse(text);
  return Number.isNaN(from) ? undefined : {afterIndex: 0, from};
}

function serverRow(server: ServerReport): readonly string[] {
  const {name, database, dataCentre, role, state, owner} = server;
  return [name, database, dataCentre, role, state, owner];
}

/**
 * Returns a table of the live VMs, followed by the members of the replicated
 * log that are not live.
 */
function machineTable(
  status: StatusReport,
  control: ControlReport | undefined,
): OutputTable {
  const liveNames = new Set(status.machines.map(({name}) => name));
  const unreachable = (control?.members ?? []).filter(
    ({name}) => !liveNames.has(name),
  );
  return {
    columns: ['VM', 'DATA CENTRE', 'STATE', 'CONTROL', 'ANSWERED'],
    rows: [
      ...status.machines.map(({name, dataCentre, state, controlVoter}) => [
        name,
        dataCentre,
        state,
        ...controlCells(control, name, controlVoter ? 'spare' : ''),
      ]),
      ...unreachable.map(({name, dataCentre}) => [
        name,
        dataCentre,
        'lost',
        ...controlCells(control, name, ''),
      ]),
    ],
  };
}

function controlCells(
  control: ControlReport | undefined,
  name: string,
  fallbackRole: string,
): readonly string[] {
  const member = control?.members.find(other => other.name === name);
  if (control === undefined) return ['unknown', ''];
  if (member === undefined) return [fallbackRole, ''];
  const role = control.leader === name ? 'leader' : member.role;
  if (member.diskReplaced) return [role, 'with another disk'];
  return [role, `${Math.round(member.silentMilliseconds)} ms ago`];
}

function formatMargin(control: ControlReport | undefined): string {
  if (control === undefined) {
    return 'no control leader: changes cannot be committed now\n';
  }
  const {margin, quorum} = control;
  return (
    `margin: ${margin} more control VMs can be lost ` +
    `(a quorum needs ${quorum})\n`
  );
}

function auditRow(record: AuditRecord): readonly string[] {
  return [
    String(record.index),
    new Date(record.at).toISOString(),
    record.actor,
    record.action,
    record.subject,
    String(record.fromVersion),
    record.result,
  ];
}
