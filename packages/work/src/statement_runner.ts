import {Either} from 'purify-ts';
import {Logger} from '@apricotlock/logging';
import {
  ConnectionError,
  MemberCommand,
  MemberTarget,
  StatementAnswer,
} from '@apricotlock/statement';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {
  lastAnswer,
  preparationFailed,
  toMemberCommand,
} from './caller_command.js';
import {Symptom} from './lease_messages.js';
import {WorkConnection} from './work_connection.js';
import {WorkStatement} from './work_messages.js';

/** After this time without an answer, the member is probed. */
const SILENCE_LIMIT_MILLISECONDS = 250;

/** Options of a statement runner. */
export interface StatementRunnerOptions {
  readonly target: MemberTarget;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Resolves to whether the member answers on a new connection. */
  readonly probe: () => Promise<boolean>;
  /** Called when a connection to the reachable member was found dead. */
  readonly onDeadConnection: () => void;
  /** Receives the time to the answer of a command that needs no slot. */
  readonly onRoundTrip: (milliseconds: number) => void;
  readonly onSymptom: (symptom: Symptom) => void;
}

/** Sends statements to one member and watches for their answers. */
export class StatementRunner {
  private constructor(private readonly options: StatementRunnerOptions) {}

  /** Creates a runner for one member. */
  static create(options: StatementRunnerOptions): StatementRunner {
    return new StatementRunner(options);
  }

  /**
   * Sends a statement, preceded by the commands that it requires, and resolves
   * to its answer.
   */
  async run(
    connection: WorkConnection,
    statement: WorkStatement,
  ): Promise<Either<ConnectionError, StatementAnswer>> {
    const {member} = connection;
    const {text, opens, floor, timeoutMilliseconds} = statement;
    const values = new Map(statement.values);
    const {commands, nextContext} = connection.prepareFor(values, text);
    connection.setContext(nextContext);
    const stopWatching = this.watchForSilence(connection, statement);
    const command = toMemberCommand(
      statement,
      opens === 'none' ? floor : undefined,
    );
    if (opens === 'none') {
      const answers = await member.run(
        [...commands, command],
        timeoutMilliseconds,
      );
      stopWatching();
      if (answers.map(preparationFailed).orDefault(false)) connection.taint();
      return answers.map(lastAnswer);
    }
    const readOnly = opens === 'readOnlyTransaction';
    const begin: MemberCommand = {kind: 'begin', readOnly, floor};
    const {timer, onRoundTrip} = this.options;
    const beganAt = timer.now();
    const replies = await member.run([...commands, begin], timeoutMilliseconds);
    replies.ifRight(() => onRoundTrip(timer.now() - beganAt));
    // A statement after a failed BEGIN would run outside of a transaction.
    const beginAnswer = replies.map(lastAnswer);
    if (replies.map(preparationFailed).orDefault(false)) connection.taint();
    const answer = beginAnswer.toMaybe().extract();
    if (answer?.end.kind !== 'complete') {
      stopWatching();
      return beginAnswer;
    }
    const answers = await member.run([command], timeoutMilliseconds);
    stopWatching();
    return answers.map(lastAnswer);
  }

  /**
   * Probes the member on a new connection if a statement is not answered within
   * {@link SILENCE_LIMIT_MILLISECONDS}, because either the statement is slow or
   * its connection is dead. Returns a function that ends the watch.
   */
  private watchForSilence(
    connection: WorkConnection,
    statement: WorkStatement,
  ): Unsubscribe {
    let isAnswered = false;
    const cancel = this.options.timer.once(SILENCE_LIMIT_MILLISECONDS, () => {
      void this.options.probe().then(reachable => {
        if (reachable && !isAnswered) this.handleSilence(connection, statement);
      });
    });
    return () => {
      isAnswered = true;
      cancel();
    };
  }

  /**
   * Handles a statement without an answer from a reachable member. A repeatable
   * read is aborted by closing its connection. Any other statement continues,
   * because a write may be waiting for replicas, and a commit stall is
   * reported.
   */
  private handleSilence(
    connection: WorkConnection,
    statement: WorkStatement,
  ): void {
    const {timer, logger, target, onSymptom, onDeadConnection} = this.options;
    logger.warn('no answer on a connection to a reachable member', {
      request: statement.requestId,
      member: target.name,
      connectionAge: Math.round(timer.now() - connection.openedAt),
      repeatable: statement.repeatable,
    });
    if (statement.repeatable) {
      connection.member.close();
      onDeadConnection();
    } else {
      onSymptom('commitsStall');
    }
  }
}
