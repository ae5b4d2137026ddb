import {applyCommand, withAuditRecord} from './apply_command.js';
import {CommandAnswer} from './control_command.js';
import {ControlState} from './control_state.js';
import {LogEntry} from './log_entry.js';

const SYSTEM_ACTOR = 'apricotlock';

/** The state after a log entry, and the answer if the entry was a command. */
export interface AppliedEntry {
  readonly state: ControlState;
  readonly answer: CommandAnswer | undefined;
}

/** Applies one entry of the log; every control VM computes the same result. */
export function applyEntry(state: ControlState, entry: LogEntry): AppliedEntry {
  const {index, body} = entry;
  if (body.kind === 'command') return applyCommand(state, index, body.command);
  if (body.kind === 'termStart') return {state, answer: undefined};
  const audit = withAuditRecord(state.audit, {
    index,
    at: body.at,
    actor: SYSTEM_ACTOR,
    action: 'configuration',
    subject: body.configuration.members
      .map(({name, role}) => (role === 'voter' ? name : `${name} (learner)`))
      .join(' '),
    fromVersion: state.view.catalogue.version,
    result: body.reason,
  });
  return {state: {...state, audit}, answer: undefined};
}
