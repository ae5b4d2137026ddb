import {EventLoopUtilization, performance} from 'node:perf_hooks';
import {Gauge} from '@apricotlock/metrics';
import {TimerService, Unsubscribe} from '@apricotlock/timer';

/** The period of the timer; it shares its wake-ups with other timers. */
const PERIOD_MILLISECONDS = 100;
/** The delays of one minute, in case the metrics page is read less often. */
const MAXIMUM_DELAYS = 600;
const QUANTILE = 0.99;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * Measures how late a periodic timer fires, which is how long an arriving
 * request waits before it is read. The histogram of Node.js would wake the
 * process 100 times a second.
 */
export class EventLoopMonitor {
  private delays: number[] = [];
  private lastAt: number;
  private utilization: EventLoopUtilization;
  private stopMeasuring: Unsubscribe = () => undefined;

  private constructor(
    private readonly timer: TimerService,
    private readonly readUtilization: () => EventLoopUtilization,
  ) {
    this.lastAt = timer.now();
    this.utilization = readUtilization();
  }

  /** Starts measuring. */
  static start(
    timer: TimerService,
    readUtilization = () => performance.eventLoopUtilization(),
  ): EventLoopMonitor {
    const monitor = new EventLoopMonitor(timer, readUtilization);
    monitor.stopMeasuring = timer.every(PERIOD_MILLISECONDS, () =>
      monitor.measure(),
    );
    return monitor;
  }

  /** Returns the gauges of the event loop and of the CPU time. */
  gauges(): readonly Gauge[] {
    return [
      {
        name: 'apricotlock_event_loop_delay_seconds',
        help: 'The 99th percentile since the page was last asked for',
        read: () => this.takeDelay() / MILLISECONDS_PER_SECOND,
      },
      {
        name: 'apricotlock_event_loop_utilization',
        help: 'Busy part of the time since the page was last asked for',
        read: () => this.takeUtilization(),
      },
      {
        name: 'apricotlock_cpu_seconds',
        help: 'CPU time of the process since its start',
        read: () => {
          const {user, system} = process.cpuUsage();
          return (user + system) / MICROSECONDS_PER_SECOND;
        },
      },
    ];
  }

  /** Stops measuring. */
  stop(): void {
    this.stopMeasuring();
  }

  private measure(): void {
    const now = this.timer.now();
    const delay = Math.max(0, now - this.lastAt - PERIOD_MILLISECONDS);
    this.lastAt = now;
    this.delays.push(delay);
    if (this.delays.length > MAXIMUM_DELAYS) this.delays.shift();
  }

  private takeDelay(): number {
    const sorted = this.delays.sort((left, right) => left - right);
    this.delays = [];
    return sorted[Math.ceil(sorted.length * QUANTILE) - 1] ?? 0;
  }

  private takeUtilization(): number {
    const current = this.readUtilization();
    const active = current.active - this.utilization.active;
    const total = active + current.idle - this.utilization.idle;
    this.utilization = current;
    return total > 0 ? active / total : 0;
  }
}
