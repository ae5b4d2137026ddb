import {match} from 'ts-pattern';
import {ClusterView} from '@apricotlock/topology';
import {putCatalogue, replaceCatalogue} from './catalogue_change.js';
import {describeCatalogueChange} from './catalogue_change_summary.js';
import {
  ChangeOrigin,
  CommandAnswer,
  ControlCommand,
} from './control_command.js';
import {AuditRecord, ControlState} from './control_state.js';
import {
  applyMemberReport,
  registerMember,
  setMemberState,
} from './member_change.js';
import {
  beginTerm,
  confirmRemovedLogs,
  orderPromotion,
  setPrimary,
} from './term_change.js';
import {ViewChange} from './view_change.js';

const MAXIMUM_STORED_ANSWERS = 10_000;
const MAXIMUM_AUDIT_RECORDS = 20_000;
const DAY_MILLISECONDS = 86_400_000;
const MAXIMUM_AUDIT_AGE_MILLISECONDS = 30 * DAY_MILLISECONDS;
const MAXIMUM_ANSWER_AGE_MILLISECONDS = 7 * DAY_MILLISECONDS;
const SYSTEM_ACTOR = 'apricotlock';

/** The state after a command was applied, and the answer to its proposer. */
export interface AppliedCommand {
  readonly state: ControlState;
  readonly answer: CommandAnswer;
}

/**
 * Applies one command of the log to the state. The result depends only on the
 * arguments, so that every control VM computes the same state.
 */
export function applyCommand(
  state: ControlState,
  index: number,
  command: ControlCommand,
): AppliedCommand {
  const stored = findStoredAnswer(state, command);
  const advancedState = {...state, view: {...state.view, index}};
  if (stored !== undefined) return {state: advancedState, answer: stored};
  const change = computeChange(state.view, command);
  const answer = commandAnswerFor(change, state.view, index);
  return {
    answer,
    state: {
      ...documentAfter(state, command, change),
      view: {...(change.kind === 'changed' ? change.view : state.view), index},
      audit: auditAfter(state, index, command, answer, change),
      answers: answersAfter(state, command, answer),
    },
  };
}

/**
 * Returns the operators' document after a command. Document and catalogue
 * change together or not at all.
 */
function documentAfter(
  {document}: ControlState,
  command: ControlCommand,
  change: ViewChange,
): Pick<ControlState, 'document'> {
  const isReplaced =
    command.kind === 'replaceCatalogue' && change.kind === 'changed';
  const current = isReplaced ? command.document : document;
  return current === undefined ? {} : {document: current};
}

function computeChange(view: ClusterView, command: ControlCommand): ViewChange {
  return match(command)
    .with({kind: 'putCatalogue'}, put =>
      putCatalogue(view, put.baseVersion, put),
    )
    .with({kind: 'replaceCatalogue'}, replacement =>
      replaceCatalogue(view, replacement.version, replacement),
    )
    .with({kind: 'reportMember'}, ({report}) => applyMemberReport(view, report))
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
    .with({kind: 'confirmRemovedLogs'}, ({database, term, members}) =>
      confirmRemovedLogs(view, database, term, members),
    )
    .exhaustive();
}

function commandAnswerFor(
  change: ViewChange,
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
        changed: true,
      };
    case 'unchanged':
      return {kind: 'accepted', index, version, changed: false};
    case 'conflict':
      return {kind: 'conflict', version};
    case 'refused':
      return {kind: 'refused', reason: change.reason};
  }
}

function originOf(command: ControlCommand): ChangeOrigin | undefined {
  return 'origin' in command ? command.origin : undefined;
}

function findStoredAnswer(
  state: ControlState,
  command: ControlCommand,
): CommandAnswer | undefined {
  const changeId = originOf(command)?.changeId;
  if (changeId === undefined) return undefined;
  return state.answers.find(stored => stored.changeId === changeId)?.answer;
}

function answersAfter(
  state: ControlState,
  command: ControlCommand,
  answer: CommandAnswer,
): ControlState['answers'] {
  const origin = originOf(command);
  if (origin === undefined) return state.answers;
  const {changeId, at} = origin;
  const oldest = at - MAXIMUM_ANSWER_AGE_MILLISECONDS;
  const retained = state.answers.filter(stored => stored.at >= oldest);
  return [...retained, {changeId, at, answer}].slice(-MAXIMUM_STORED_ANSWERS);
}

function auditAfter(
  state: ControlState,
  index: number,
  command: ControlCommand,
  answer: CommandAnswer,
  change: ViewChange,
): readonly AuditRecord[] {
  // A system command that changes nothing is not audited: its repetitions would
  // push the other records out of the trail.
  const isRepeatedNoOp =
    change.kind === 'unchanged' && originOf(command) === undefined;
  if (isRepeatedNoOp) return state.audit;
  const record: AuditRecord = {
    index,
    at: originOf(command)?.at ?? ('at' in command ? command.at : 0),
    actor: originOf(command)?.actor ?? SYSTEM_ACTOR,
    action: command.kind,
    subject: subjectOf(command, state.view, change),
    fromVersion: state.view.catalogue.version,
    result: answer.kind === 'refused' ? answer.reason : answer.kind,
  };
  return withAuditRecord(state.audit, record);
}

/**
 * Returns the audit trail with one more record, without records that are too
 * old or exceed the maximum count.
 */
export function withAuditRecord(
  audit: readonly AuditRecord[],
  record: AuditRecord,
): readonly AuditRecord[] {
  const oldest = record.at - MAXIMUM_AUDIT_AGE_MILLISECONDS;
  const start = audit.findIndex(({at}) => at >= oldest);
  const retained = start < 0 ? [] : audit.slice(start);
  return [...retained, record].slice(-MAXIMUM_AUDIT_RECORDS);
}

function subjectOf(
  command: ControlCommand,
  before: ClusterView,
  change: ViewChange,
): string {
  return match(command)
    .with({kind: 'putCatalogue'}, put =>
      change.kind === 'changed'
        ? describeCatalogueChange(before.catalogue, change.view.catalogue)
        : `catalogue ${put.baseVersion}`,
    )
    .with({kind: 'replaceCatalogue'}, put =>
      change.kind === 'changed'
        ? describeCatalogueChange(before.catalogue, change.view.catalogue)
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
    .with(
      {kind: 'confirmRemovedLogs'},
      ({database, members}) => `${database}: ${members.join(' ')}`,
    )
    .exhaustive();
}
