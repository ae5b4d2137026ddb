import {Gauge} from '@apricotlock/metrics';
import {TimerService} from '@apricotlock/timer';
import {EventLoopMonitor} from './event_loop_monitor.js';
import {ProgramContext} from './program_context.js';
import {HttpListener} from './http_listener.js';

const MAXIMUM_BODY_BYTES = 64 << 10;
const CONTENT_TYPE = 'text/plain; version=0.0.4';

/**
 * Starts the measurements that every program reports, and returns their gauges.
 */
export function startProcessGauges(timer: TimerService): readonly Gauge[] {
  return [
    {
      name: 'apricotlock_resident_memory_bytes',
      help: 'Memory of the process',
      read: () => process.memoryUsage.rss(),
    },
    ...EventLoopMonitor.start(timer).gauges(),
  ];
}

/**
 * Serves the metrics at the metrics address. Throws if the address cannot be
 * bound.
 */
export async function startMetricsListener(
  {settings, logger}: ProgramContext,
  page: () => string,
): Promise<void> {
  await HttpListener.start({
    address: settings.metricsAddress,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    logger,
    handler: async () => ({
      status: 200,
      contentType: CONTENT_TYPE,
      body: page(),
    }),
  });
}
