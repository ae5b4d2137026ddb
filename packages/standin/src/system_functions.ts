import {formatPosition} from '@apricotlock/session';
import {notSupported} from './expression.js';
import {MemberRuntime} from './member_runtime.js';
import {Value, valueToText} from './value.js';

const MILLISECONDS_A_SECOND = 1_000;

/** Functions whose value comes from the member, not from its tables. */
export class SystemFunctions {
  private sleepMilliseconds = 0;

  private constructor(private readonly runtime: MemberRuntime) {}

  /** The functions of one session of a member. */
  static of(runtime: MemberRuntime): SystemFunctions {
    return new SystemFunctions(runtime);
  }

  /** How long the last statement asked to sleep, in milliseconds. */
  takeSleep(): number {
    const sleep = this.sleepMilliseconds;
    this.sleepMilliseconds = 0;
    return sleep;
  }

  /** Calls a function by its name. */
  call(name: string, values: readonly Value[]): Value {
    const status = this.runtime.status.current;
    switch (name) {
      case 'pg_current_wal_lsn':
      case 'pg_last_wal_receive_lsn':
        return formatPosition(status.received);
      case 'pg_last_wal_replay_lsn':
        return formatPosition(status.applied);
      case 'pg_is_in_recovery':
        return status.role === 'replica';
      case 'pg_sleep':
        this.sleepMilliseconds += Number(values[0]) * MILLISECONDS_A_SECOND;
        return '';
      case 'now':
        return new Date().toISOString();
      case 'version':
        return 'apricotlock stand-in';
      case 'lower':
        return (valueToText(values[0] ?? null) ?? '').toLowerCase();
      case 'upper':
        return (valueToText(values[0] ?? null) ?? '').toUpperCase();
      default:
        throw notSupported(`the function ${name}`);
    }
  }
}
