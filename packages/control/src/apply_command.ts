import {isDeepStrictEqual} from 'node:util';
import {match} from 'ts-pattern';
import {
  CatalogueEntry,
  ClusterView,
  DatabaseGroup,
  findGroup,
  findMember,
  Member,
} from '@apricotlock/topology';
import {
  ChangeOrigin,
  CommandAnswer,
  ControlCommand,
} from './control_command.js';
import {AuditRecord, ControlState} from './control_state.js';

const MAXIMUM_REMEMBERED_ANSWERS = 10_000;
const MAXIMUM_AUDIT_RECORDS = 20_000;
const DAY_MILLISECONDS = 86_400_000;
const MAXIMUM_AUDIT_AGE_MILLISECONDS = 30 * DAY_MILLISECONDS;
const MAXIMUM_ANSWER_AGE_MILLISECONDS = 7 * DAY_MILLISECONDS;
const MAXIMUM_NAMES_TOLD = 10;
const SYSTEM_ACTOR = 'apricotlock';

/** The state after a command, and the command's answer. */
export interface Applied {
  readonly state: ControlState;
  readonly answer: CommandAnswer;
}

/**
 * Carries out one command of the log. It depends on nothing but its
 * arguments, so that every control VM comes to the same state.
 */
export function applyCommand(
  state: ControlState,
  index: number,
  command: ControlCommand,
): Applied {
  const remembered = rememberedAnswer(state, command);
  const moved = {...state, view: {...state.view, index}};
  if (remembered !== undefined) return {state: moved, answer: remembered};
  const change = changeOf(state.view, command);
  const answer = answerOf(change, state.view, index);
  return {
    answer,
    state: {
      view: {...(change.kind === 'changed' ? change.view : state.view), index},
      audit: withAudit(state, index, command, answer, change),
      answers: withAnswer(state, command, answer),
    },
  };
}

type Change =
  | {readonly kind: 'changed'; readonly view: ClusterView}
  /** All is as the command wants it already. */
  | {readonly kind: 'unchanged'}
  | {readonly kind: 'conflict'}
  | {readonly kind: 'refused'; readonly reason: string};

function changeOf(view: ClusterView, command: ControlCommand): Change {
  return match(command)
    .with({kind: 'putCatalogue'}, put =>
      putCatalogue(view, put.baseVersion, put.entries),
    )
    .with({kind: 'registerMember'}, ({announcement}) =>
      registerMember(view, {...announcement, state: 'active'}),
    )
    .with({kind: 'setMemberState'}, ({member, state}) =>
      setMemberState(view, member, state),
    )
    .with({kind: 'beginTerm'}, ({database, expectedTerm, term}) =>
      beginTerm(view, database, expectedTerm, term),
    )
    .with({kind: 'setPrimary'}, ({database, term, primary}) =>
      setPrimary(view, database, term, primary),
    )
    .exhaustive();
}

function putCatalogue(
  view: ClusterView,
  baseVersion: number,
  entries: readonly CatalogueEntry[],
): Change {
  const {version} = view.catalogue;
  if (baseVersion !== version) return {kind: 'conflict'};
  const catalogue = {
    version: version + 1,
    entries: sharedEntries(entries, view.catalogue.entries),
  };
  const groups = groupsFor(entries, view.groups);
  return {kind: 'changed', view: {...view, catalogue, groups}};
}

/**
 * Entries by name, so that two catalogues with the same entries are equal;
 * what did not change stays the same object, so that it is found fast.
 */
function sharedEntries(
  entries: readonly CatalogueEntry[],
  before: readonly CatalogueEntry[],
): readonly CatalogueEntry[] {
  const known = new Map(before.map(entry => [entry.name, entry]));
  return entries
    .map(entry => {
      const old = known.get(entry.name);
      return old !== undefined && isDeepStrictEqual(old, entry) ? old : entry;
    })
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

/** Groups outlive their entries: their members still have their data. */
function groupsFor(
  entries: readonly CatalogueEntry[],
  groups: readonly DatabaseGroup[],
): readonly DatabaseGroup[] {
  const sizes = new Map<string, number>();
  for (const {database, members} of entries) {
    sizes.set(database, Math.max(sizes.get(database) ?? 0, members));
  }
  const known = groups.map(group => {
    const size = sizes.get(group.database) ?? group.size;
    sizes.delete(group.database);
    return size === group.size ? group : {...group, size};
  });
  const added = [...sizes].map(([database, size]) => newGroup(database, size));
  return [...known, ...added];
}

function newGroup(database: string, size: number): DatabaseGroup {
  return {database, size, term: 0, primary: undefined, members: []};
}

function registerMember(view: ClusterView, member: Member): Change {
  const group = findGroup(view, member.database);
  if (group === undefined) {
    return {kind: 'refused', reason: 'no catalogue entry names the database'};
  }
  const elsewhere = view.groups.some(
    other => other !== group && findMember(other, member.name) !== undefined,
  );
  if (elsewhere) {
    return {kind: 'refused', reason: 'the name belongs to another database'};
  }
  const known = findMember(group, member.name);
  if (known === undefined) {
    return changedGroup(view, {...group, members: [...group.members, member]});
  }
  // A late or repeated announcement must not bring an old address back.
  if (member.incarnation <= known.incarnation) return {kind: 'unchanged'};
  return changedMember(view, group, {...member, state: known.state});
}

function setMemberState(
  view: ClusterView,
  name: string,
  state: Member['state'],
): Change {
  const group = view.groups.find(
    candidate => findMember(candidate, name) !== undefined,
  );
  const member = group && findMember(group, name);
  if (group === undefined || member === undefined) {
    return {kind: 'refused', reason: `no backend server "${name}"`};
  }
  if (member.state === state) return {kind: 'unchanged'};
  if (state === 'removed' && group.primary === name) {
    return {kind: 'refused', reason: 'it is the primary: drain it first'};
  }
  return changedMember(view, group, {...member, state});
}

function beginTerm(
  view: ClusterView,
  database: string,
  expectedTerm: number,
  term: number,
): Change {
  const group = findGroup(view, database);
  if (group === undefined) {
    return {kind: 'refused', reason: `no database "${database}"`};
  }
  if (group.term !== expectedTerm || term <= group.term) {
    return {kind: 'conflict'};
  }
  return changedGroup(view, {...group, term, primary: undefined});
}

function setPrimary(
  view: ClusterView,
  database: string,
  term: number,
  primary: string,
): Change {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, primary) === undefined) {
    return {kind: 'refused', reason: `no member "${primary}" of "${database}"`};
  }
  if (group.term !== term) return {kind: 'conflict'};
  if (group.primary === primary) return {kind: 'unchanged'};
  // A term never has two primaries.
  if (group.primary !== undefined) return {kind: 'conflict'};
  return changedGroup(view, {...group, primary});
}

function changedMember(
  view: ClusterView,
  group: DatabaseGroup,
  member: Member,
): Change {
  const members = group.members.map(other =>
    other.name === member.name ? member : other,
  );
  return changedGroup(view, {...group, members});
}

function changedGroup(view: ClusterView, group: DatabaseGroup): Change {
  const groups = view.groups.map(other =>
    other.database === group.database ? group : other,
  );
  return {kind: 'changed', view: {...view, groups}};
}

function answerOf(
  change: Change,
  view: ClusterView,
  index: number,
): CommandAnswer {
  const {version} = view.catalogue;
  switch (change.kind) {
    case 'changed':
      return {
        kind: 'accepted',
        index,
        version: change.view.catalogue.version,
      };
    case 'unchanged':
      return {kind: 'accepted', index, version};
    case 'conflict':
      return {kind: 'conflict', version};
    case 'refused':
      return {kind: 'refused', reason: change.reason};
  }
}

function originOf(command: ControlCommand): ChangeOrigin | undefined {
  return 'origin' in command ? command.origin : undefined;
}

function rememberedAnswer(
  state: ControlState,
  command: ControlCommand,
): CommandAnswer | undefined {
  const changeId = originOf(command)?.changeId;
  if (changeId === undefined) return undefined;
  return state.answers.find(known => known.changeId === changeId)?.answer;
}

function withAnswer(
  state: ControlState,
  command: ControlCommand,
  answer: CommandAnswer,
): ControlState['answers'] {
  const origin = originOf(command);
  if (origin === undefined) return state.answers;
  const {changeId, at} = origin;
  const oldest = at - MAXIMUM_ANSWER_AGE_MILLISECONDS;
  const kept = state.answers.filter(known => known.at >= oldest);
  return [...kept, {changeId, at, answer}].slice(-MAXIMUM_REMEMBERED_ANSWERS);
}

function withAudit(
  state: ControlState,
  index: number,
  command: ControlCommand,
  answer: CommandAnswer,
  change: Change,
): readonly AuditRecord[] {
  // What repeats itself without an effect would drown the rest.
  const idle = change.kind === 'unchanged' && originOf(command) === undefined;
  if (idle) return state.audit;
  const record: AuditRecord = {
    index,
    at: originOf(command)?.at ?? ('at' in command ? command.at : 0),
    actor: originOf(command)?.actor ?? SYSTEM_ACTOR,
    action: command.kind,
    subject: subjectOf(command, state.view, change),
    fromVersion: state.view.catalogue.version,
    result: answer.kind === 'refused' ? answer.reason : answer.kind,
  };
  return withRecord(state.audit, record);
}

/** The audit trail with one more record; the oldest ones go. */
export function withRecord(
  audit: readonly AuditRecord[],
  record: AuditRecord,
): readonly AuditRecord[] {
  const oldest = record.at - MAXIMUM_AUDIT_AGE_MILLISECONDS;
  const start = audit.findIndex(({at}) => at >= oldest);
  const kept = start < 0 ? [] : audit.slice(start);
  return [...kept, record].slice(-MAXIMUM_AUDIT_RECORDS);
}

function subjectOf(
  command: ControlCommand,
  before: ClusterView,
  change: Change,
): string {
  return match(command)
    .with({kind: 'putCatalogue'}, put =>
      change.kind === 'changed'
        ? describeCatalogueChange(before, change.view)
        : `catalogue ${put.baseVersion}`,
    )
    .with({kind: 'registerMember'}, ({announcement}) => announcement.name)
    .with({kind: 'setMemberState'}, set => `${set.member} ${set.state}`)
    .with(
      {kind: 'beginTerm'},
      begin => `${begin.database} term ${begin.term}: ${begin.reason}`,
    )
    .with(
      {kind: 'setPrimary'},
      set => `${set.database} term ${set.term}: ${set.primary}`,
    )
    .exhaustive();
}

/** Names of entries that were added (+), changed (~) and deleted (-). */
function describeCatalogueChange(from: ClusterView, to: ClusterView): string {
  const before = new Map(
    from.catalogue.entries.map(entry => [entry.name, entry]),
  );
  const after = new Map(to.catalogue.entries.map(entry => [entry.name, entry]));
  const marks = [
    ...[...after]
      .filter(([name, entry]) => before.get(name) !== entry)
      .map(([name]) => `${before.has(name) ? '~' : '+'}${name}`),
    ...[...before.keys()]
      .filter(name => !after.has(name))
      .map(name => `-${name}`),
  ];
  if (marks.length === 0) return 'no entry';
  const more = marks.length - MAXIMUM_NAMES_TOLD;
  const told = marks.slice(0, MAXIMUM_NAMES_TOLD).join(' ');
  return more > 0 ? `${told} and ${more} more` : told;
}
