import {Either, Left} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {describePeerError, PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, EMPTY_VIEW, VirtualMachine} from '@apricotlock/topology';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {ControlError, ControlLog} from './control_log.js';
import {AuditRecord} from './control_state.js';
import {
  FETCH_AUDIT,
  FETCH_VIEW,
  PROPOSE,
  PUSH_VIEW,
} from './control_messages.js';

const PROPOSE_TIMEOUT_MILLISECONDS = 3_000;
const FETCH_TIMEOUT_MILLISECONDS = 1_000;
const ANTI_ENTROPY_PERIOD_MILLISECONDS = 500;

/** What a process needs to take part in control. */
export interface ControlClientOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly machines: Observable<readonly VirtualMachine[]>;
  /** The log, on a control VM. */
  readonly log: ControlLog | undefined;
}

/**
 * Every process's way to control: it proposes commands, and keeps the newest
 * view, which only ever goes up.
 */
export class ControlClient {
  readonly view = Observable.of<ClusterView>(EMPTY_VIEW);

  private constructor(private readonly options: ControlClientOptions) {}

  /** Starts to take views, and to pass them on where this process leads. */
  static start(options: ControlClientOptions): ControlClient {
    const client = new ControlClient(options);
    const {network, timer, log} = options;
    network.handle(PUSH_VIEW, async ({view}) => {
      client.take(view);
      return Either.of({index: client.view.current.index});
    });
    network.handle(FETCH_VIEW, async ({index}) => {
      const view = client.view.current;
      return Either.of({view: view.index > index ? view : undefined});
    });
    network.handle(FETCH_AUDIT, async ({since}) =>
      log === undefined
        ? Left('not a control VM')
        : Either.of({records: auditSince(log, since)}),
    );
    network.handle(PROPOSE, async command =>
      log === undefined
        ? Left('not a control VM')
        : (await log.propose(command)).mapLeft(error => error.reason),
    );
    log?.state.subscribe(state => {
      client.take(state.view);
      if (log.leading.current) client.pushToAll(state.view);
    });
    timer.every(ANTI_ENTROPY_PERIOD_MILLISECONDS, () => {
      void client.fetchFromSomebody();
    });
    return client;
  }

  /** Puts a command into the log, wherever its leader is. */
  async propose(
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    const {log} = this.options;
    if (log !== undefined) return log.propose(command);
    const voter = this.voters()[0];
    if (voter === undefined) {
      return Left({kind: 'unavailable', reason: 'no control VM is known'});
    }
    const answer = await this.options.network.call(
      voter.peerAddress,
      PROPOSE,
      command,
      PROPOSE_TIMEOUT_MILLISECONDS,
    );
    return answer.mapLeft((error): ControlError => {
      const reason = describePeerError(error);
      const kind = error.kind === 'noAnswer' ? 'unknown' : 'unavailable';
      return {kind, reason};
    });
  }

  /** The audit trail after an index of the log. */
  async audit(
    since: number,
  ): Promise<Either<ControlError, readonly AuditRecord[]>> {
    const {log, network} = this.options;
    if (log !== undefined) return Either.of(auditSince(log, since));
    for (const voter of this.voters()) {
      const answer = await network.call(
        voter.peerAddress,
        FETCH_AUDIT,
        {since},
        FETCH_TIMEOUT_MILLISECONDS,
      );
      if (answer.isRight()) return answer.map(({records}) => records) as never;
    }
    return Left({kind: 'unavailable', reason: 'no control VM answered'});
  }

  /** Takes a view if it is newer. */
  private take(view: ClusterView): void {
    if (view.index > this.view.current.index) this.view.set(view);
  }

  private voters(): readonly VirtualMachine[] {
    return this.options.machines.current.filter(
      machine => machine.controlVoter,
    );
  }

  private pushToAll(view: ClusterView): void {
    const {network, machines, self} = this.options;
    for (const machine of machines.current) {
      if (machine.name === self) continue;
      void network.call(
        machine.peerAddress,
        PUSH_VIEW,
        {view},
        FETCH_TIMEOUT_MILLISECONDS,
      );
    }
  }

  private async fetchFromSomebody(): Promise<void> {
    const {machines, self, network} = this.options;
    const others = machines.current.filter(machine => machine.name !== self);
    const other = others[Math.floor(Math.random() * others.length)];
    if (other === undefined) return;
    const answer = await network.call(
      other.peerAddress,
      FETCH_VIEW,
      {index: this.view.current.index},
      FETCH_TIMEOUT_MILLISECONDS,
    );
    answer.ifRight(({view}) => {
      if (view !== undefined && view !== null) this.take(view);
    });
  }
}

function auditSince(log: ControlLog, since: number): readonly AuditRecord[] {
  return log.state.current.audit.filter(record => record.index > since);
}
