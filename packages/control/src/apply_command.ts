import {match} from 'ts-pattern';
import {ClusterView} from '@apricotlock/topology';
import {putCatalogue, replaceCatalogue} from './catalogue_change.js';
import {
  ChangeOrigin,
  CommandAnswer,
  ControlCommand,
} from './control_command.js';
import {AuditRecord, ControlState} from './control_state.js';
import {registerMember, setMemberState, takeReport} from './member_change.js';
import {beginTerm, orderPromotion, setPrimary} from './term_change.js';
import {Change} from './view_change.js';

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
