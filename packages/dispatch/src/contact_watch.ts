import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {Contact, isCutOff, shouldCloseIdle} from './isolation.js';

const CHECK_MILLISECONDS = 200;

/** What watching the contact to the rest of the system needs. */
export interface ContactWatchOptions {
  /** How this VM's contact is now; `undefined` before it ever had any. */
  readonly contact: () => Contact | undefined;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Notices that this VM is cut off from the rest of the system, and the end. */
export class ContactWatch {
  private cutOffSince: number | undefined;
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
    return this.cutOffSince !== undefined;
  }

  /** Whether idle sessions had better be served elsewhere. */
  get shouldCloseIdle(): boolean {
    const {cutOffSince} = this;
    if (cutOffSince === undefined) return false;
    return shouldCloseIdle(this.options.timer.now() - cutOffSince);
  }

  /** Ends the task. */
  stop(): void {
    this.stopChecking();
  }

  private check(): void {
    const {contact, timer, logger} = this.options;
    const current = contact();
    if (current === undefined) return;
    const cutOff = isCutOff(current);
    if (cutOff === this.cutOff) return;
    this.cutOffSince = cutOff ? timer.now() : undefined;
    logger.warn(cutOff ? 'cut off from the others' : 'in contact again', {
      viewAge: Math.round(current.viewAgeMilliseconds),
      evidenceAge: Math.round(current.evidenceAgeMilliseconds),
    });
  }
}
