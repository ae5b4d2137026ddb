import {Logger} from '@apricotlock/logging';
import {Choice, RoutedStatement} from './routed_statement.js';
import {WorkHandle, WorkResult} from './work_handle.js';

/** The moment of a log line: time since the statement arrived, and view. */
export interface AttemptMoment {
  readonly elapsedMilliseconds: number;
  readonly viewIndex: number;
}

/** Logs the result of one attempt on one member. */
export function logAttempt(
  logger: Logger,
  {requestId, organisation}: RoutedStatement,
  {member, primaryTerm, floor, floorAgeMilliseconds}: Choice,
  result: WorkResult,
  {machine}: WorkHandle,
  {elapsedMilliseconds, viewIndex}: AttemptMoment,
): void {
  const fields = {
    request: requestId,
    organisation: organisation?.name,
    member,
    through: machine,
    primaryTerm,
    floor: floor && `${floor.term}.${floor.number}`,
    floorAge: floorAgeMilliseconds && Math.round(floorAgeMilliseconds),
    view: viewIndex,
    elapsed: Math.round(elapsedMilliseconds),
  };
  if (result.kind === 'answered') {
    const {end} = result.answer;
    logger.info('statement answered', {
      ...fields,
      end: end.kind,
      error: end.kind === 'error' ? end.error.code : undefined,
    });
  } else if (result.kind === 'refused') {
    logger.info('statement not run', {
      ...fields,
      reason: result.refusal.reason,
    });
  } else {
    logger.info('statement lost', {...fields, reason: result.reason});
  }
}
