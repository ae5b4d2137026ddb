import {WorkRefusalReason} from './work_messages.js';

/** An event of a connection to a member. */
export type ConnectionEvent =
  | 'opened'
  /** It was closed to open one for another organisation. */
  | 'replaced'
  /** Its idle transaction was ended, because work waited for a connection. */
  | 'transactionEnded';

/** Receives events of the work on members, for metrics. */
export interface WorkObserver {
  /** Called with each event of a connection to a member. */
  onConnectionEvent(event: ConnectionEvent): void;

  /** Called when this VM has refused work. */
  onRefusal(reason: WorkRefusalReason): void;
}
