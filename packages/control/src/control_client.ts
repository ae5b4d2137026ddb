import {Either, Left} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ClusterView, EMPTY_VIEW, VirtualMachine} from '@apricotlock/topology';
import {CommandAnswer, ControlCommand} from './control_command.js';
import {ControlError, ControlLog} from './control_log.js';
import {packOutcome, unpackOutcome} from './propose_outcome.js';
import {AuditRecord} from './control_state.js';
import {
  FETCH_AUDIT,
  FETCH_VIEW,
  PROPOSE,
  PUSH_VIEW,
} from './control_messages.js';

const PROPOSE_TIMEOUT_MILLISECONDS = 4_000;
const PROPOSE_LIMIT_MILLISECONDS = 6_000;
const FETCH_TIMEOUT_MILLISECONDS = 1_000;
const ANTI_ENTROPY_PERIOD_MILLISECONDS = 500;

const NOBODY_KNOWN: Either<ControlError, CommandAnswer> = Left({
  kind: 'unavailable',
  reason: 'no control VM is known',
});

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
        : Either.of(packOutcome(await log.propose(command))),
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
    const {log, timer} = this.options;
    const deadline = timer.now() + PROPOSE_LIMIT_MILLISECONDS;
    // A control VM that hears no leader may be the only one that does not.
    const own = log?.leader.current === undefined ? undefined : log;
    let outcome = (await own?.propose(command)) ?? NOBODY_KNOWN;
    for (const voter of this.otherVoters()) {
      if (!wasNotTaken(outcome) || timer.now() > deadline) return outcome;
      outcome = await this.proposeAt(voter, command);
    }
    if (!wasNotTaken(outcome) || log === undefined) return outcome;
    return log.propose(command);
  }

  private async proposeAt(
    voter: VirtualMachine,
    command: ControlCommand,
  ): Promise<Either<ControlError, CommandAnswer>> {
    const answer = await this.options.network.call(
      voter.peerAddress,
      PROPOSE,
      command,
      PROPOSE_TIMEOUT_MILLISECONDS,
    );
    return unpackOutcome(answer);
  }

  /** The audit trail after an index of the log. */
  async audit(
    since: number,
  ): Promise<Either<ControlError, readonly AuditRecord[]>> {
    const {log, network} = this.options;
    if (log !== undefined) return Either.of(auditSince(log, since));
    for (const voter of this.otherVoters()) {
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

  private otherVoters(): readonly VirtualMachine[] {
    const {machines, self} = this.options;
    return machines.current.filter(
      machine => machine.controlVoter && machine.name !== self,
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

/** Only what was certainly not taken may be asked of another VM. */
function wasNotTaken(outcome: Either<ControlError, CommandAnswer>): boolean {
  const error = outcome.isLeft() ? outcome.extract() : undefined;
  return (error as ControlError | undefined)?.kind === 'unavailable';
}
