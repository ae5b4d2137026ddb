/**
 * The immutable view that every process has of the system: the catalogue, the
 * database groups and the entry VMs.
 *
 * @packageDocumentation
 */
export {
  formatAddress,
  parseAddress,
  type Address,
  type AddressError,
} from './address.js';
export {
  catalogueEntrySchema,
  checkEntries,
  EMPTY_CATALOGUE,
  findEntry,
  type Catalogue,
  type CatalogueEntry,
  type CatalogueFault,
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
  votingMembers,
  type DatabaseGroup,
  type Member,
  type MemberCapacity,
  type MemberState,
} from './database_group.js';
export {ownerOf, ownerRanking} from './rendezvous.js';
export {
  type VirtualMachine,
  type VirtualMachineState,
} from './virtual_machine.js';
