import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {Contact, isCutOff, shouldCloseIdle} from './isolation.js';

const CHECK_MILLISECONDS = 100;
/** A caller may have been sent here just before the balancer knew better. */
const ON_THE_WAY_MILLISECONDS = 300;

/** What watching the contact to the rest of the system needs. */
export interface ContactWatchOptions {
  /** How this VM's contact is now; `undefined` before it ever had any. */
  readonly contact: () => Contact | undefined;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Notices that this VM is cut off from the rest of the system, and the end. */
export class ContactWatch {
  private isolated = false;
  /** The balancer's probes in a row that were answered in the negative. */
  private negativeProbes = 0;
  /** When the balancer had reason to send callers elsewhere. */
  private leftAt: number | undefined;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly options: ContactWatchOptions) {
    this.stopChecking = options.timer.every(CHECK_MILLISECONDS, () =>
      this.check(),
    );
  }

  /** Starts to watch. */
  static start(options: ContactWatchOptions): ContactWatch {
    return new ContactWatch(options);
  }

  /** Whether this VM seems cut off. */
  get cutOff(): boolean {
    return this.isolated;
  }

  /**
   * Idle sessions that began before this moment had better be served elsewhere;
   * `undefined` while none is known to. Callers whom the balancer sends here
   * all the same find no better place.
   */
  get closeIdleBefore(): number | undefined {
    if (!this.isolated || this.leftAt === undefined) return undefined;
    return this.leftAt + ON_THE_WAY_MILLISECONDS;
  }

  /** Notes what a probe of the balancer was told. */
  probed(ready: boolean): void {
    this.negativeProbes = ready ? 0 : this.negativeProbes + 1;
    if (ready) this.leftAt = undefined;
    else if (shouldCloseIdle(this.negativeProbes)) {
      this.leftAt ??= this.options.timer.now();
    }
  }

  /** Ends the task. */
  stop(): void {
    this.stopChecking();
  }

  private check(): void {
    const {contact, logger} = this.options;
    const current = contact();
    if (current === undefined) return;
    const cutOff = isCutOff(current);
    if (cutOff === this.isolated) return;
    this.isolated = cutOff;
    logger.warn(cutOff ? 'cut off from the others' : 'in contact again', {
      viewAge: Math.round(current.viewAgeMilliseconds),
      evidenceAge: Math.round(current.evidenceAgeMilliseconds),
    });
  }
}
