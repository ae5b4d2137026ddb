import {formatPosition} from '@apricotlock/session';
import {notSupported} from './expression.js';
import {MemberRuntime} from './member_runtime.js';
import {Value, valueToText} from './value.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** SQL functions whose value does not depend on the member's tables. */
export class SystemFunctions {
  private sleepMilliseconds = 0;

  private constructor(private readonly runtime: MemberRuntime) {}

  /** Creates the functions of one session of a member. */
  static of(runtime: MemberRuntime): SystemFunctions {
    return new SystemFunctions(runtime);
  }

  /** Returns and resets the sleep that the last statement requested. */
  consumeSleepMilliseconds(): number {
    const sleep = this.sleepMilliseconds;
    this.sleepMilliseconds = 0;
    return sleep;
  }

  /** Calls a function by its name. Throws SqlError if it is not supported. */
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
        this.sleepMilliseconds += Number(values[0]) * MILLISECONDS_PER_SECOND;
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
