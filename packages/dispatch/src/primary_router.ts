import {Observable} from '@apricotlock/flow';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, findGroup} from '@apricotlock/topology';
import {Attempt, retryable} from './attempt.js';
import {MemberAttempts} from './member_attempts.js';
import {isRepeatable, RoutedStatement, timeLeft} from './routed_statement.js';
import {queueMilliseconds} from './wait_policy.js';

/** Dependencies of the routing to primaries. */
export interface PrimaryRouterOptions {
  readonly view: Observable<ClusterView>;
  readonly timer: TimerService;
  readonly attempts: MemberAttempts;
}

/** Routes statements that only the primary may run. */
export class PrimaryRouter {
  private constructor(private readonly options: PrimaryRouterOptions) {}

  /** Creates the router to primaries of one VM. */
  static create(options: PrimaryRouterOptions): PrimaryRouter {
    return new PrimaryRouter(options);
  }

  /** Tries the current primary once. */
  async tryOnce(statement: RoutedStatement): Promise<Attempt> {
    const {view, timer, attempts} = this.options;
    const group = findGroup(view.current, statement.entry.database);
    if (group?.primary === undefined) {
      return retryable('the database currently has no primary');
    }
    return attempts.run(statement, group, {
      member: group.primary,
      primaryTerm: group.term,
      floor: undefined,
      repeatable: isRepeatable(statement),
      timeoutMilliseconds: timeLeft(statement, timer.now()),
      waitMilliseconds: queueMilliseconds(statement.terms),
    });
  }
}
