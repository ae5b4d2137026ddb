import {Failure} from './failure.js';

/** Receives the events of sessions that are counted in the metrics. */
export interface SessionObserver {
  /** Clock in milliseconds, used to measure the reported durations. */
  readonly now: () => number;
  /** Called when the router has run a batch, with its duration. */
  readonly onServed: (
    by: 'primary' | 'replica',
    purpose: 'read' | 'write',
    milliseconds: number,
  ) => void;
  /** Called when a batch failed or the stream was rejected. */
  readonly onFailure: (failure: Failure) => void;
}
