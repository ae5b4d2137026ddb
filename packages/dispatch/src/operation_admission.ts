import {OperationQuota} from '@apricotlock/quota';
import {TimerService} from '@apricotlock/timer';
import {Organisation, ServiceTerms} from '@apricotlock/topology';
import {RouteOutcome} from './attempt.js';

/** With less time than this left, a statement is not sent to a member. */
const MINIMUM_REMAINING_MILLISECONDS = 10;

/** An operation that is about to run on a member. */
export interface Operation {
  readonly organisation: Organisation | undefined;
  readonly terms: ServiceTerms;
  readonly receivedAt: number;
}

/** The outcome of an operation, and whether its quota refused it. */
export interface AdmittedOutcome {
  readonly outcome: RouteOutcome;
  readonly refusedByQuota: boolean;
}

/**
 * Runs an operation if the quota of its organisation has room for it. An
 * operation that no member has run is not counted.
 */
export async function runWithinQuota(
  {organisation, terms, receivedAt}: Operation,
  quota: OperationQuota | undefined,
  timer: TimerService,
  run: () => Promise<RouteOutcome>,
): Promise<AdmittedOutcome> {
  if (organisation === undefined) {
    return {outcome: await run(), refusedByQuota: false};
  }
  const decision = await quota?.acquire(organisation);
  if (decision?.kind === 'refused') {
    const {retryAfterMilliseconds} = decision;
    const reason = `the quota of ${organisation.name} is used up`;
    return {
      outcome: {kind: 'notRun', reason, retryAfterMilliseconds},
      refusedByQuota: true,
    };
  }
  const grantedAt = timer.now();
  const remainingMilliseconds =
    terms.statementMilliseconds - (grantedAt - receivedAt);
  const outcome: RouteOutcome =
    remainingMilliseconds < MINIMUM_REMAINING_MILLISECONDS
      ? {
          kind: 'notRun',
          reason: 'its time was used up by the checks of the key and the quota',
          retryAfterMilliseconds: 0,
        }
      : await run();
  if (outcome.kind === 'notRun') quota?.giveBack(organisation, grantedAt);
  return {outcome, refusedByQuota: false};
}
