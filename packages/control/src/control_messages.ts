import {z} from 'zod';
import {PeerCall} from '@apricotlock/peer';
import {checkFromSchema} from './consensus_messages.js';
import {
  auditSchema,
  commandSchema,
  proposeOutcomeSchema,
  viewUpdateSchema,
} from './control_schemas.js';
import {PackedUpdate} from './packed_update.js';
import {ViewUpdate} from './view_update.js';

const MAXIMUM_NAME_CHARACTERS = 100;

const index = z.int().min(0);
const name = z.string().max(MAXIMUM_NAME_CHARACTERS);

/** The answer to a request for a newer view. */
export interface FetchedView {
  /** The index of the sender's newest view. */
  readonly index: number;
  /** Time since that view was known to be the newest of all. */
  readonly ageMilliseconds: number;
  /**
   * The VM at the root of the distribution tree; `null` if the sender knows
   * none.
   */
  readonly root: string | null;
  /** `null` if the sender has nothing newer. */
  readonly update: ViewUpdate | PackedUpdate | null;
}

/** A request for a newer view. */
export interface ViewRequest {
  /** The index of the view that the VM has. */
  readonly index: number;
  /** Whether the VM understands packed updates; earlier versions do not. */
  readonly acceptsPacked?: boolean | undefined;
}

/** The requested part of the audit trail; both bounds apply. */
export interface AuditRange {
  /** Only records with a greater log index. */
  readonly afterIndex: number;
  /**
   * Only records of this time or later, in milliseconds since the Unix epoch.
   */
  readonly from: number;
}

/** Proposes a command through a control VM, which finds the leader. */
export const PROPOSE = PeerCall.define(
  'control.propose',
  checkFromSchema(commandSchema),
  checkFromSchema(proposeOutcomeSchema),
);

const sentUpdate = z.union([
  viewUpdateSchema,
  z.object({kind: z.literal('packed'), bytes: z.instanceof(Uint8Array)}),
]);

const checkFetchedView = checkFromSchema<FetchedView>(
  z.object({
    index,
    ageMilliseconds: z.number().min(0),
    root: name.nullable(),
    update: sentUpdate.nullable(),
  }),
);

/**
 * Returns whether a value is a valid answer without an update. Nearly all are,
 * and this check costs a small part of what the schema does.
 */
function isUnchangedView(candidate: unknown): candidate is FetchedView {
  const {index, ageMilliseconds, root, update} = (candidate ?? {}) as Readonly<
    Record<string, unknown>
  >;
  return (
    update === null &&
    Number.isSafeInteger(index) &&
    (index as number) >= 0 &&
    typeof ageMilliseconds === 'number' &&
    ageMilliseconds >= 0 &&
    ageMilliseconds < Infinity &&
    (root === null ||
      (typeof root === 'string' && root.length <= MAXIMUM_NAME_CHARACTERS))
  );
}

/** Requests the newest view, if it is newer than `index`. */
export const FETCH_VIEW = PeerCall.define<ViewRequest, FetchedView>(
  'control.fetchView',
  checkFromSchema(z.object({index, acceptsPacked: z.boolean().optional()})),
  candidate =>
    isUnchangedView(candidate) ? candidate : checkFetchedView(candidate),
);

/**
 * Pushes a new view; the answer has the index of the receiver's newest view.
 */
export const PUSH_VIEW = PeerCall.define<
  {readonly root: string; readonly update: ViewUpdate | PackedUpdate},
  {readonly index: number}
>(
  'control.pushView',
  checkFromSchema(z.object({root: name, update: sentUpdate})),
  checkFromSchema(z.object({index})),
);

/** The operators' document of the catalogue, as known to the control leader. */
export interface CatalogueDocument {
  readonly version: number;
  /** `null` before the first catalogue. */
  readonly document: string | null;
}

/** Requests the newest catalogue document from the leader; other VMs refuse. */
export const FETCH_DOCUMENT = PeerCall.define<
  {readonly from: string},
  CatalogueDocument
>(
  'control.fetchDocument',
  checkFromSchema(z.object({from: name})),
  checkFromSchema(z.object({version: index, document: z.string().nullable()})),
);

/** Requests part of the audit trail from a control VM. */
export const FETCH_AUDIT = PeerCall.define(
  'control.fetchAudit',
  checkFromSchema<AuditRange>(
    z.object({afterIndex: z.int(), from: z.number()}),
  ),
  checkFromSchema(auditSchema),
);
