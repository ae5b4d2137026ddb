import {Logger} from '@apricotlock/logging';
import {
  ConnectError,
  MemberConnector,
  MemberTarget,
} from '@apricotlock/statement';
import {Symptom} from './lease_messages.js';

const PROBE_TIMEOUT_MILLISECONDS = 300;

/** Dependencies of the reachability of one member. */
export interface MemberReachabilityOptions {
  readonly target: MemberTarget;
  readonly connector: MemberConnector;
  readonly logger: Logger;
  /** Called when the member shows a symptom of a failure. */
  readonly onSymptom: (symptom: Symptom) => void;
  /** Called whenever a connection to the member can't be opened. */
  readonly onUnreachable: () => void;
}

/**
 * Whether this VM can open connections to one member, as far as the last attempt
 * shows. A member that refuses one because it has too many is reachable.
 */
export class MemberReachability {
  private reachable = true;

  private constructor(private readonly options: MemberReachabilityOptions) {}

  /** Creates an instance that takes the member as reachable. */
  static create(options: MemberReachabilityOptions): MemberReachability {
    return new MemberReachability(options);
  }

  /** Whether the last connection could be opened. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Records that a connection was opened. */
  recordOpened(): void {
    if (!this.reachable) this.logChange('member is reachable again');
    this.reachable = true;
  }

  /** Records that a connection could not be opened. */
  recordFailure(error: ConnectError, organisation: string | undefined): void {
    const {logger, target, onSymptom, onUnreachable} = this.options;
    logger.warn('failed to connect to a member', {
      member: target.name,
      database: target.database,
      organisation,
      failure: error.kind,
      reason: error.reason,
    });
    if (error.kind === 'tooManyConnections') return;
    if (this.reachable) this.logChange('member is unreachable');
    this.reachable = false;
    onUnreachable();
    onSymptom(symptomOf(error));
  }

  /** Resolves to whether the member accepts and answers a new connection. */
  async probe(): Promise<boolean> {
    const {connector, target} = this.options;
    const opened = await connector.connect(target, PROBE_TIMEOUT_MILLISECONDS);
    if (opened.isLeft()) {
      this.recordFailure(opened.extract() as ConnectError, undefined);
      return false;
    }
    opened.ifRight(connection => connection.close());
    return true;
  }

  private logChange(message: string): void {
    const {name: member, database} = this.options.target;
    this.options.logger.info(message, {member, database});
  }
}

function symptomOf({kind}: ConnectError): Symptom {
  if (kind === 'refused' || kind === 'otherMember') return kind;
  return 'silent';
}
