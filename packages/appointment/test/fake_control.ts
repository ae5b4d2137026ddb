import {SingleNodeControlLog} from '@apricotlock/control';
import {
  DatabaseGroup,
  findGroup,
  MemberState,
  VirtualMachine,
} from '@apricotlock/topology';

export const DATABASE = 'ledger';
const CONNECTIONS = 16;

/** Creates a log with a synchronous group, its primary and lease holder. */
export async function logWithGroup(
  members: readonly string[],
  primary: string,
  holder: string,
): Promise<SingleNodeControlLog> {
  const log = SingleNodeControlLog.create('control-1');
  await log.propose({
    kind: 'replaceCatalogue',
    version: 7,
    document: '{}',
    at: 0,
    entries: [
      {
        name: 'entry',
        owner: 'test',
        class: 'standard',
        database: DATABASE,
        members: 1,
        limits: {
          connections: CONNECTIONS,
          slots: 2,
          queueLength: 10,
          queueMilliseconds: 100,
        },
        terms: {
          consistency: 'primary',
          statementMilliseconds: 800,
          priority: 1,
          synchronousReplicas: 1,
        },
      },
    ],
  });
  for (const name of members) await reportMember(log, name, 'active', 1);
  await log.propose({
    kind: 'beginTerm',
    database: DATABASE,
    expectedTerm: 0,
    term: 1,
    reason: 'test',
    at: 0,
  });
  await log.propose({
    kind: 'setPrimary',
    database: DATABASE,
    term: 1,
    primary,
    holder,
    at: 0,
  });
  return log;
}

/** Adds a member's report to the log. */
export async function reportMember(
  log: SingleNodeControlLog,
  name: string,
  state: MemberState,
  reportSequence: number,
): Promise<void> {
  await log.propose({
    kind: 'reportMember',
    at: 0,
    report: {
      name,
      database: DATABASE,
      dataCentre: 'here',
      address: {host: '127.0.0.1', port: name.charCodeAt(0)},
      incarnation: 1,
      state,
      reportSequence,
    },
  });
}

/** Returns the current state of the group in the log. */
export function groupIn(log: SingleNodeControlLog): DatabaseGroup {
  return findGroup(log.state.current.view, DATABASE) as DatabaseGroup;
}

/** Returns an entry VM that may become a lease holder. */
export function entryMachine(name: string): VirtualMachine {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    incarnation: 1,
    dataCentre: 'here',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: false,
    state: 'serving',
  };
}
