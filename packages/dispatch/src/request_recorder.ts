import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {CallerAnswer, CallerRequest} from '@apricotlock/statement';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, Consistency} from '@apricotlock/topology';
import {SessionObserver} from './session_observer.js';

/** Dependencies of the recorder. */
export interface RequestRecorderOptions {
  readonly view: Observable<ClusterView>;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly observer: SessionObserver;
}

/** The session whose request was answered. */
export interface RecordedSession {
  readonly database: string;
  readonly consistency: Consistency;
  /** The name of the caller's organisation, if it has one. */
  readonly organisation: string | undefined;
}

/** Records the answers of callers' requests in metrics and in the log. */
export class RequestRecorder {
  private constructor(private readonly options: RequestRecorderOptions) {}

  /** Creates a recorder. */
  static create(options: RequestRecorderOptions): RequestRecorder {
    return new RequestRecorder(options);
  }

  /** Records that the start of a session was refused because of its key. */
  recordRefusedStart(
    database: string,
    reason: 'unauthenticated' | 'notRun',
  ): void {
    const {observer, logger, view} = this.options;
    observer.onFailure(reason);
    logger.info('caller session rejected: key not accepted', {
      database,
      reason,
      view: view.current.index,
    });
  }

  /** Records the answer to a request. */
  recordAnswer(
    {id}: CallerRequest,
    answer: CallerAnswer,
    receivedAt: number,
    {database, consistency, organisation}: RecordedSession,
  ): void {
    const {observer, logger, timer, view} = this.options;
    const elapsed = timer.now() - receivedAt;
    if (answer.kind !== 'failure') {
      if (answer.kind === 'member') observer.onAnswer(consistency, elapsed);
      return;
    }
    const {failure} = answer;
    observer.onFailure(failure.kind);
    logger.info('request failed', {
      request: id,
      entry: database,
      organisation,
      outcome: failure.kind,
      reason: 'reason' in failure ? failure.reason : undefined,
      elapsed: Math.round(elapsed),
      view: view.current.index,
    });
  }
}
