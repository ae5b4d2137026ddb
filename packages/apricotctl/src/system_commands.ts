import {randomUUID} from 'node:crypto';
import {AuditRecord} from '@apricotlock/control';
import {ServerReport, StatusReport} from '@apricotlock/operator';
import {ChangeFlags, finishChange} from './catalogue_commands.js';
import {answerOrExit, clientFor, CommonFlags} from './command_context.js';
import {writeAnswer} from './output.js';

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
  const status = answerOrExit(await clientFor(flags).status());
  writeAnswer(flags.output, status.machines, machineTable(status));
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
  flags: CommonFlags & {readonly since: number},
): Promise<void> {
  const records = answerOrExit(await clientFor(flags).audit(flags.since));
  writeAnswer(flags.output, records, {
    columns: ['INDEX', 'TIME', 'ACTOR', 'ACTION', 'SUBJECT', 'RESULT'],
    rows: records.map(auditRow),
  });
}

function serverRow(server: ServerReport): readonly string[] {
  const {name, database, dataCentre, role, state, owner} = server;
  return [name, database, dataCentre, role, state, owner];
}

function machineTable(status: StatusReport) {
  return {
    columns: ['VM', 'DATA CENTRE', 'STATE', 'CONTROL VOTER'],
    rows: status.machines.map(machine => [
      machine.name,
      machine.dataCentre,
      machine.state,
      machine.controlVoter ? 'yes' : 'no',
    ]),
  };
}

function auditRow(record: AuditRecord): readonly string[] {
  return [
    String(record.index),
    new Date(record.at).toISOString(),
    record.actor,
    record.action,
    record.subject,
    record.result,
  ];
}
