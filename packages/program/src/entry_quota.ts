import {ControlClient} from '@apricotlock/control';
import {
  QuotaClient,
  QuotaCoordinator,
  QuotaCoordinatorOptions,
} from '@apricotlock/quota';
import {quotaGauges} from './quota_metrics.js';
import {SessionMetrics} from './session_metrics.js';

/** Starts the quotas of an entry VM, and adds their metrics. */
export function startEntryQuota(
  shared: Omit<QuotaCoordinatorOptions, 'viewAgeMilliseconds'>,
  control: ControlClient,
  metrics: SessionMetrics,
): QuotaClient {
  const viewAgeMilliseconds = () => control.viewAgeMilliseconds;
  const options = {...shared, viewAgeMilliseconds};
  const coordinator = QuotaCoordinator.start(options);
  const client = QuotaClient.create({...options, coordinator});
  metrics.addGauges(quotaGauges(client, coordinator));
  return client;
}
