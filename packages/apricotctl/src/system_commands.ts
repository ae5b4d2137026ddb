import {randomUUID} from 'node:crypto';
import {AuditRange, AuditRecord, ControlReport} from '@apricotlock/control';
import {ServerReport, StatusReport} from '@apricotlock/operator';
import {ChangeFlags, finishChange} from './catalogue_commands.js';
import {
  answerOrExit,
  clientFor,
  CommonFlags,
  exitWith,
} from './command_context.js';
import {ExitCode} from './exit_code.js';
import {OutputTable, writeAnswer} from './output.js';

/** Shows databases as the asked VM sees them. */
export async function showStatus(flags: CommonFlags): Promise<void> {
  const status = answerOrExit(await clientFor(flags).status());
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

/** Lists backend servers. */
export async function listServers(flags: CommonFlags): Promise<void> {
  const servers = answerOrExit(await clientFor(flags).servers());
  writeAnswer(flags.output, servers, {
    columns: ['SERVER', 'DATABASE', 'DATA CENTRE', 'ROLE', 'STATE', 'OWNER'],
    rows: servers.map(serverRow),
  });
}

/** Drains, removes or takes back a backend server. */
export async function changeServer(
  flags: ChangeFlags & {readonly name: string},
  action: 'drain' | 'remove' | 'activate',
): Promise<void> {
  const changeId = flags.changeId ?? randomUUID();
  const report = answerOrExit(
    await clientFor(flags).changeServer(
      flags.name,
      action,
      changeId,
      flags.wait,
    ),
  );
  finishChange(flags, report);
}

/** Lists entry VMs and control VMs. */
export async function listMachines(flags: CommonFlags): Promise<void> {
  const client = clientFor(flags);
  const status = answerOrExit(await client.status());
  // Without a quorum nobody can report, and the list is wanted most.
  const control = (await client.control()).toMaybe().extract();
  const answer = {machines: status.machines, control: control ?? null};
  writeAnswer(flags.output, answer, machineTable(status, control));
  if (flags.output === 'table') process.stdout.write(marginLine(control));
}

/** Makes an entry VM drain. */
export async function drainMachine(
  flags: CommonFlags & {readonly name: string},
): Promise<void> {
  const report = answerOrExit(await clientFor(flags).drainMachine(flags.name));
  writeAnswer(flags.output, report, {
    columns: ['RESULT'],
    rows: [[report.result]],
  });
}

/** Shows the audit trail. */
export async function showAudit(
  flags: CommonFlags & {readonly since: string},
): Promise<void> {
  const range = readSince(flags.since);
  if (range === undefined) {
    exitWith(ExitCode.USAGE, `--since: "${flags.since}" is no index or time`);
  }
  const trail = answerOrExit(await clientFor(flags).audit(range));
  writeAnswer(flags.output, trail, {
    columns: ['INDEX', 'TIME', 'ACTOR', 'ACTION', 'SUBJECT', 'FROM', 'RESULT'],
    rows: trail.records.map(auditRow),
  });
}

/** An index of the log, or a time such as `2026-12-03T20:00Z`. */
export function readSince(text: string): AuditRange | undefined {
  if (/^[0-9]+$/.test(text)) return {afterIndex: Number(text), from: 0};
  const from = Date.parse(text);
  return Number.isNaN(from) ? undefined : {afterIndex: 0, from};
}

function serverRow(server: ServerReport): readonly string[] {
  const {name, database, dataCentre, role, state, owner} = server;
  return [name, database, dataCentre, role, state, owner];
}

/** Live VMs, and those that take part in the log and are not live. */
function machineTable(
  status: StatusReport,
  control: ControlReport | undefined,
): OutputTable {
  const known = new Set(status.machines.map(({name}) => name));
  const silent = (control?.members ?? []).filter(({name}) => !known.has(name));
  return {
    columns: ['VM', 'DATA CENTRE', 'STATE', 'CONTROL', 'ANSWERED'],
    rows: [
      ...status.machines.map(({name, dataCentre, state, controlVoter}) => [
        name,
        dataCentre,
        state,
        ...controlCells(control, name, controlVoter ? 'spare' : ''),
      ]),
      ...silent.map(({name, dataCentre}) => [
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
  otherwise: string,
): readonly string[] {
  const member = control?.members.find(other => other.name === name);
  if (control === undefined) return ['unknown', ''];
  if (member === undefined) return [otherwise, ''];
  const role = control.leader === name ? 'leader' : member.role;
  if (member.diskReplaced) return [role, 'with another disk'];
  return [role, `${Math.round(member.silentMilliseconds)} ms ago`];
}

function marginLine(control: ControlReport | undefined): string {
  if (control === undefined) {
    return 'no control VM leads: nothing can be decided now\n';
  }
  const {margin, quorum} = control;
  return (
    `margin: ${margin} more control VMs can be lost ` +
    `(${quorum} are needed for a decision)\n`
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
