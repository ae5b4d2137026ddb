/**
 * Immutable model of the system that every process shares: the catalogue, the
 * database groups, the VMs and the ownership of members.
 *
 * @packageDocumentation
 */
export {
  formatAddress,
  isConnectable,
  parseAddress,
  type Address,
  type AddressError,
} from './address.js';
export {
  catalogueEntrySchema,
  validateEntries,
  EMPTY_CATALOGUE,
  findEntry,
  isStoredCatalogue,
  LOWEST_PRIORITY,
  MAXIMUM_DURATION_MILLISECONDS,
  MAXIMUM_QUEUE_MILLISECONDS,
  type Catalogue,
  type CatalogueEntry,
  type Consistency,
  type EntryLimits,
  type EntryVerifier,
  type ServiceClass,
  type ServiceTerms,
} from './catalogue.js';
export {EMPTY_VIEW, findGroup, type ClusterView} from './cluster_view.js';
export {
  findMember,
  majorityOf,
  possibleLogHolders,
  votingMembers,
  type DatabaseGroup,
  type Member,
  type MemberCapacity,
  type MemberState,
} from './database_group.js';
export {
  digestOfKey,
  keysSchema,
  organisationSchema,
  type Organisation,
  type Quota,
} from './organisation.js';
export {validateOrganisations} from './organisation_edit.js';
export {type CatalogueValidationError} from './catalogue_validation_error.js';
export {assignedOwner} from './owner_assignment.js';
export {ownerOf, ownerRanking, rendezvousWeight} from './rendezvous.js';
export {
  type VirtualMachine,
  type VirtualMachineState,
} from './virtual_machine.js';
