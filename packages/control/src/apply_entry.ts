import {applyCommand, withRecord} from './apply_command.js';
import {CommandAnswer} from './control_command.js';
import {ControlState} from './control_state.js';
import {LogEntry} from './log_entry.js';

const SYSTEM_ACTOR = 'apricotlock';

/** The state after an entry, and the answer if it was a command. */
export interface AppliedEntry {
  readonly state: ControlState;
  readonly answer: CommandAnswer | undefined;
}

/** Carries out one entry of the log, on every control VM alike. */
export function applyEntry(state: ControlState, entry: LogEntry): AppliedEntry {
  const {index, body} = entry;
  if (body.kind === 'command') return applyCommand(state, index, body.command);
  if (body.kind === 'termStart') return {state, answer: undefined};
  const audit = withRecord(state.audit, {
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
