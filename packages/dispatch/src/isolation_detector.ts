import {Logger} from '@apricotlock/logging';
import {TimerService, Unsubscribe} from '@apricotlock/timer';
import {
  Connectivity,
  isIsolated,
  isReconnected,
  isViewStale,
  shouldCloseIdle,
} from './isolation.js';

const CHECK_INTERVAL_MILLISECONDS = 100;
/**
 * How long the balancer may still send callers here after the probe that should
 * make it stop.
 */
const BALANCER_DELAY_MILLISECONDS = 300;
/**
 * A VM whose view is confirmed for this long is no longer isolated, even if no
 * lease holder answers: no other VM may have better contact.
 */
const CONFIRMED_VIEW_MILLISECONDS = 2_000;

/** Options of the isolation detector. */
export interface IsolationDetectorOptions {
  /** Returns the current connectivity, `undefined` before the first view. */
  readonly connectivity: () => Connectivity | undefined;
  readonly timer: TimerService;
  readonly logger: Logger;
}

/** Detects when this VM becomes isolated and when it is connected again. */
export class IsolationDetector {
  private isolated = false;
  /** Since when the view of this isolated VM has been confirmed again. */
  private confirmedSince: number | undefined;
  /** Consecutive balancer probes that were answered as not ready. */
  private failedProbes = 0;
  /** When the probe that should make the balancer stop was answered. */
  private balancedAwayAt: number | undefined;
  private readonly stopChecking: Unsubscribe;

  private constructor(private readonly options: IsolationDetectorOptions) {
    this.stopChecking = options.timer.every(CHECK_INTERVAL_MILLISECONDS, () =>
      this.check(),
    );
  }

  /** Starts checking the connectivity periodically. */
  static start(options: IsolationDetectorOptions): IsolationDetector {
    return new IsolationDetector(options);
  }

  /** Whether this VM is considered isolated. */
  get isIsolated(): boolean {
    return this.isolated;
  }

  /**
   * Idle sessions that began before this time should be closed, so that their
   * callers connect to another VM; `undefined` if no session should be closed.
   * Sessions that began later are kept: the balancer sent their callers here
   * despite the failed probes, so it has no better VM for them.
   */
  get closeIdleBefore(): number | undefined {
    if (!this.isolated || this.balancedAwayAt === undefined) return undefined;
    return this.balancedAwayAt + BALANCER_DELAY_MILLISECONDS;
  }

  /** Records whether a probe of the balancer was answered as ready. */
  recordProbe(ready: boolean): void {
    this.failedProbes = ready ? 0 : this.failedProbes + 1;
    if (ready) this.balancedAwayAt = undefined;
    else if (shouldCloseIdle(this.failedProbes)) {
      this.balancedAwayAt ??= this.options.timer.now();
    }
  }

  /** Stops checking the connectivity. */
  stop(): void {
    this.stopChecking();
  }

  private check(): void {
    const {connectivity, logger} = this.options;
    const current = connectivity();
    if (current === undefined) return;
    const isolated = this.isolated
      ? !this.hasReconnected(current)
      : isIsolated(current);
    if (isolated === this.isolated) return;
    this.isolated = isolated;
    this.confirmedSince = undefined;
    logger.warn(
      isolated ? 'this VM is isolated' : 'this VM is connected again',
      {
        viewAge: Math.round(current.viewAgeMilliseconds),
        primaryContactAge: Math.round(current.primaryContactAgeMilliseconds),
      },
    );
  }

  private hasReconnected(current: Connectivity): boolean {
    const now = this.options.timer.now();
    if (isViewStale(current)) this.confirmedSince = undefined;
    else this.confirmedSince ??= now;
    const {confirmedSince = now} = this;
    return (
      isReconnected(current) ||
      now - confirmedSince >= CONFIRMED_VIEW_MILLISECONDS
    );
  }
}
