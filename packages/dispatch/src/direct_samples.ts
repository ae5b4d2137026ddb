import {TimerService} from '@apricotlock/timer';
import {PositionSample} from './position_sample_history.js';
import {RelayedSample} from './position_samples.js';

/** Older samples are not passed on: the receiver asks the lease holder instead. */
const MAXIMUM_AGE_MILLISECONDS = 750;

interface DirectSample extends PositionSample {
  /** When the position was requested, on the wall clock. */
  readonly wallAt: number;
}

/**
 * The newest position sample of each group that this VM received from the
 * group's lease holder itself. Only these are passed on to other VMs: the age
 * of a sample that is passed on repeatedly would have no bound.
 */
export class DirectSamples {
  private readonly samples = new Map<string, DirectSample>();

  private constructor(private readonly timer: TimerService) {}

  /** Creates an empty collection. */
  static create(timer: TimerService): DirectSamples {
    return new DirectSamples(timer);
  }

  /**
   * Returns the wall-clock time at the start of a request, for {@link record}.
   */
  startRequest(): number {
    return this.timer.wallClock();
  }

  /** Records a sample whose request was sent at `wallAt` on the wall clock. */
  record(database: string, sample: PositionSample, wallAt: number): void {
    this.samples.set(database, {...sample, wallAt});
  }

  /**
   * Returns the samples to pass on. Their ages are measured on the clock that
   * has run further, since the monotonic clock may stand still while a VM is
   * suspended.
   */
  list(): readonly RelayedSample[] {
    const now = this.timer.now();
    const wallNow = this.timer.wallClock();
    return [...this.samples].flatMap(
      ([database, {term, position, requestedAt, receivedAt, wallAt}]) => {
        const ageMilliseconds = Math.max(now - requestedAt, wallNow - wallAt);
        const receiptAgeMilliseconds = now - (receivedAt ?? requestedAt);
        const ages = {ageMilliseconds, receiptAgeMilliseconds};
        return ageMilliseconds <= MAXIMUM_AGE_MILLISECONDS
          ? [{database, term, position, ...ages}]
          : [];
      },
    );
  }
}
