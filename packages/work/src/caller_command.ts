import {
  LogPosition,
  MemberCommand,
  StatementAnswer,
} from '@apricotlock/statement';
import {preparedName} from './connection_context.js';
import {WorkStatement} from './work_messages.js';

/** Converts a caller's statement to a command for a member. */
export function toMemberCommand(
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

/** Returns the answer to the last of several commands. */
export function lastAnswer(
  answers: readonly StatementAnswer[],
): StatementAnswer {
  return answers[answers.length - 1] as StatementAnswer;
}

/** Returns whether any command before the last one failed. */
export function preparationFailed(
  answers: readonly StatementAnswer[],
): boolean {
  return answers.slice(0, -1).some(({end}) => end.kind === 'error');
}
