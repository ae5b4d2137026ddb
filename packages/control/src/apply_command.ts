import {isDeepStrictEqual} from 'node:util';
import {match} from 'ts-pattern';
import {
  Address,
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
  MemberReport,
} from './control_command.js';
import {AuditRecord, ControlState} from './control_state.js';

const MAXIMUM_REMEMBERED_ANSWERS = 10_000;
const MAXIMUM_AUDIT_RECORDS = 20_000;
const DAY_MILLISECONDS = 86_400_000;
const MAXIMUM_AUDIT_AGE_MILLISECONDS = 30 * DAY_MILLISECONDS;
const MAXIMUM_ANSWER_AGE_MILLISECONDS = 7 * DAY_MILLISECONDS;
const MAXIMUM_NAMES_TOLD = 10;
/** A late report of a member that left must still find that it left. */
const MAXIMUM_REMOVED_MEMBERS = 32;
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
      ...documentOf(state, command, change),
      view: {...(change.kind === 'changed' ? change.view : state.view), index},
      audit: withAudit(state, index, command, answer, change),
      answers: withAnswer(state, command, answer),
    },
  };
}

/** The document goes with the catalogue: both change together or not at all. */
function documentOf(
  {document}: ControlState,
  command: ControlCommand,
  change: Change,
): Pick<ControlState, 'document'> {
  const replaced =
    command.kind === 'replaceCatalogue' && change.kind === 'changed';
  const current = replaced ? command.document : document;
  return current === undefined ? {} : {document: current};
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
    .with({kind: 'replaceCatalogue'}, ({version, entries}) =>
      replaceCatalogue(view, version, entries),
    )
    .with({kind: 'reportMember'}, ({report}) => takeReport(view, report))
    .with({kind: 'registerMember'}, ({announcement}) =>
      registerMember(view, {...announcement, state: 'active'}),
    )
    .with({kind: 'setMemberState'}, ({member, state}) =>
      setMemberState(view, member, state),
    )
    .with({kind: 'beginTerm'}, ({database, expectedTerm, term}) =>
      beginTerm(view, database, expectedTerm, term),
    )
    .with({kind: 'orderPromotion'}, ({database, term, member}) =>
      orderPromotion(view, database, term, member),
    )
    .with({kind: 'setPrimary'}, ({database, term, primary, holder}) =>
      setPrimary(view, {database, term, primary, holder}),
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
 * An operator's version that is not above the one in force is taken for an
 * order that came late or twice: it changes nothing and is not refused.
 */
function replaceCatalogue(
  view: ClusterView,
  version: number,
  entries: readonly CatalogueEntry[],
): Change {
  if (version <= view.catalogue.version) return {kind: 'unchanged'};
  const catalogue = {
    version,
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

/**
 * Takes over what a member says of itself, unless something newer is known:
 * reports are ordered by incarnation, and by sequence within one. An address
 * belongs to the incarnation that was started last, so that whoever had it
 * before is gone.
 */
function takeReport(view: ClusterView, report: MemberReport): Change {
  const group = findGroup(view, report.database);
  if (group === undefined) {
    return {kind: 'refused', reason: 'no catalogue entry names the database'};
  }
  const member: Member = {...report, apiAddress: report.address};
  const known = findMember(group, member.name);
  if (known !== undefined && !isNewerReport(report, known)) {
    return {kind: 'unchanged'};
  }
  const atAddress = group.members.filter(
    other =>
      other.name !== member.name &&
      other.state !== 'removed' &&
      isSameAddress(other.address, member.address),
  );
  if (atAddress.some(other => other.incarnation > member.incarnation)) {
    return {kind: 'unchanged'};
  }
  const others = group.members
    .filter(({name}) => name !== member.name)
    .map(other => (atAddress.includes(other) ? removed(other) : other));
  return changedGroup(view, {...group, members: forgetOldest(member, others)});
}

function isNewerReport(report: MemberReport, known: Member): boolean {
  if (report.incarnation !== known.incarnation) {
    return report.incarnation > known.incarnation;
  }
  return report.reportSequence > (known.reportSequence ?? -1);
}

function isSameAddress(left: Address, right: Address): boolean {
  return left.host === right.host && left.port === right.port;
}

function removed(member: Member): Member {
  return {...member, state: 'removed'};
}

/** The group's members; of those that left, only the latest are remembered. */
function forgetOldest(
  member: Member,
  others: readonly Member[],
): readonly Member[] {
  const all = [...others, member];
  const gone = all
    .filter(({state}) => state === 'removed')
    .sort((left, right) => right.incarnation - left.incarnation);
  const forgotten = new Set(gone.slice(MAXIMUM_REMOVED_MEMBERS));
  return all.filter(each => !forgotten.has(each));
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

function orderPromotion(
  view: ClusterView,
  database: string,
  term: number,
  member: string,
): Change {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, member) === undefined) {
    return {kind: 'refused', reason: `no member "${member}" of "${database}"`};
  }
  if (group.term !== term || group.primary !== undefined) {
    return {kind: 'conflict'};
  }
  if (group.promoting === member) return {kind: 'unchanged'};
  return changedGroup(view, {...group, promoting: member});
}

/** Who leads a group in a term, and who may use it. */
interface Appointment {
  readonly database: string;
  readonly term: number;
  readonly primary: string;
  readonly holder: string | undefined;
}

function setPrimary(
  view: ClusterView,
  {database, term, primary, holder}: Appointment,
): Change {
  const group = findGroup(view, database);
  if (group === undefined || findMember(group, primary) === undefined) {
    return {kind: 'refused', reason: `no member "${primary}" of "${database}"`};
  }
  if (group.term !== term) return {kind: 'conflict'};
  if (group.primary === primary) return {kind: 'unchanged'};
  // A term never has two primaries.
  if (group.primary !== undefined) return {kind: 'conflict'};
  const {holder: _former, promoting: _done, ...rest} = group;
  const held = holder === undefined ? {} : {holder};
  return changedGroup(view, {...rest, ...held, primary});
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
    .with({kind: 'replaceCatalogue'}, put =>
      change.kind === 'changed'
        ? describeCatalogueChange(before, change.view)
        : `catalogue ${put.version}`,
    )
    .with(
      {kind: 'reportMember'},
      ({report}) => `${report.name} ${report.state}`,
    )
    .with({kind: 'registerMember'}, ({announcement}) => announcement.name)
    .with({kind: 'setMemberState'}, set => `${set.member} ${set.state}`)
    .with(
      {kind: 'beginTerm'},
      begin => `${begin.database} term ${begin.term}: ${begin.reason}`,
    )
    .with(
      {kind: 'orderPromotion'},
      order => `${order.database} term ${order.term}: ${order.member}`,
    )
    .with(
      {kind: 'setPrimary'},
      set =>
        `${set.database} term ${set.term}: ${set.primary}` +
        (set.holder === undefined ? '' : `, used by ${set.holder}`),
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
