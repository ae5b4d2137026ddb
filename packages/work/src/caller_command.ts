import {
  LogPosition,
  MemberCommand,
  StatementAnswer,
} from '@apricotlock/statement';
import {preparedName} from './connection_context.js';
import {WorkStatement} from './work_messages.js';

/** A caller's statement as a command to a member. */
export function callerCommand(
  {requestId, text}: WorkStatement,
  floor: LogPosition | undefined,
): MemberCommand {
  if (text.kind === 'plain') {
    return {kind: 'caller', requestId, text: text.text, floor};
  }
  const {access, shape, parameters} = text;
  const name = preparedName(access, shape);
  return {kind: 'execute', requestId, name, parameters, floor};
}

/** The answer to the last of several commands. */
export function lastOf(answers: readonly StatementAnswer[]): StatementAnswer {
  return answers[answers.length - 1] as StatementAnswer;
}

/** Whether something failed that was to prepare the last command. */
export function hasFailedBefore(answers: readonly StatementAnswer[]): boolean {
  return answers.slice(0, -1).some(({end}) => end.kind === 'error');
}
