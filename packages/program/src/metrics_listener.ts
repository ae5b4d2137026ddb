import {Gauge} from '@apricotlock/metrics';
import {BaseParts} from './base_parts.js';
import {HttpListener} from './http_listener.js';

const MAXIMUM_BODY_BYTES = 64 << 10;
const CONTENT_TYPE = 'text/plain; version=0.0.4';

/** What is known of every process. */
export const PROCESS_GAUGES: readonly Gauge[] = [
  {
    name: 'apricotlock_resident_memory_bytes',
    help: 'Memory of the process',
    read: () => process.memoryUsage.rss(),
  },
];

/** Serves the metrics page. Throws if the address can't be had. */
export async function startMetrics(
  {settings, logger}: BaseParts,
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
