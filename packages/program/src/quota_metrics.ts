import {Gauge} from '@apricotlock/metrics';
import {QuotaClient, QuotaCoordinator} from '@apricotlock/quota';

/**
 * Returns the gauges of the quotas. None has the organisation as a label, so
 * that the number of metrics does not grow with the catalogue.
 */
export function quotaGauges(
  client: QuotaClient,
  coordinator: QuotaCoordinator,
): readonly Gauge[] {
  return [
    {
      name: 'apricotlock_quota_granted_operations',
      help: 'Operations granted by quotas since the start',
      read: () => client.counts.granted,
    },
    {
      name: 'apricotlock_quota_refused_operations',
      help: 'Operations refused by quotas since the start',
      read: () => client.counts.refused,
    },
    {
      name: 'apricotlock_quota_reserve_operations',
      help: 'Operations granted from reserves since the start',
      read: () => client.counts.reserveUsed,
    },
    {
      name: 'apricotlock_quota_requests',
      help: 'Grants requested since the start, for one organisation each',
      read: () => client.counts.requests,
    },
    {
      name: 'apricotlock_quota_messages',
      help: 'Messages with grant requests since the start',
      read: () => client.counts.messages,
    },
    {
      name: 'apricotlock_quota_unanswered_requests',
      help: 'Grant requests without an answer in time since the start',
      read: () => client.counts.unanswered,
    },
    {
      name: 'apricotlock_quota_buckets',
      help: 'Organisations whose operations this VM grants as coordinator',
      read: () => coordinator.bucketCount,
    },
  ];
}
