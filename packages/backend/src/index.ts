/**
 * Member owners. Each member is owned by one live entry VM, which keeps the
 * member's connections, request queue and status watch, and leases connections
 * to the sessions of all entry VMs. The owner holds back the end of an answer
 * until a majority of the database group has all data that the answer may have
 * shown.
 *
 * @packageDocumentation
 */
export {
  LeaseClient,
  OwnerLeaseClient,
  type LeaseConversation,
} from './lease_client.js';
export {
  type GroupPosition,
  type LeaseOwnerMessage,
  type LeaseRefusal,
  type LeaseRequest,
  type LeaseClientMessage,
  type ReadFloor,
} from './lease_messages.js';
export {OwnerRegistry, type OwnerRegistryOptions} from './owner_registry.js';
export {LEASE_CONNECTION} from './lease_messages.js';
