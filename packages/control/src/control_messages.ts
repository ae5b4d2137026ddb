import {z} from 'zod';
import {PeerCall} from '@apricotlock/peer';
import {checkOf} from './consensus_messages.js';
import {
  auditSchema,
  commandSchema,
  proposeOutcomeSchema,
  viewUpdateSchema,
} from './control_schemas.js';
import {ViewUpdate} from './view_history.js';

const MAXIMUM_NAME_CHARACTERS = 100;

const index = z.int().min(0);
const name = z.string().max(MAXIMUM_NAME_CHARACTERS);

/** The answer of a VM that was asked for a newer view. */
export interface FetchedView {
  /** Of the newest view there. */
  readonly index: number;
  /** How long ago that was surely the newest of all. */
  readonly ageMilliseconds: number;
  /** Where the tree of views begins; `null` if that is not known there. */
  readonly root: string | null;
  /** `null` if there is nothing newer. */
  readonly update: ViewUpdate | null;
}

/** Which part of the audit trail is wanted: both bounds hold. */
export interface AuditRange {
  /** Records after this index of the log. */
  readonly afterIndex: number;
  /** Records of this time and later, in milliseconds since the Unix epoch. */
  readonly from: number;
}

/** Carries a command to a control VM, which finds the leader. */
export const PROPOSE = PeerCall.define(
  'control.propose',
  checkOf(commandSchema),
  checkOf(proposeOutcomeSchema),
);

/** Asks for the newest view, if it is newer than `index`. */
export const FETCH_VIEW = PeerCall.define<
  {readonly index: number},
  FetchedView
>(
  'control.fetchView',
  checkOf(z.object({index})),
  checkOf(
    z.object({
      index,
      ageMilliseconds: z.number().min(0),
      root: name.nullable(),
      update: viewUpdateSchema.nullable(),
    }),
  ),
);

/** Tells of a new view; the answer says which one the VM has now. */
export const PUSH_VIEW = PeerCall.define<
  {readonly root: string; readonly update: ViewUpdate},
  {readonly index: number}
>(
  'control.pushView',
  checkOf(z.object({root: name, update: viewUpdateSchema})),
  checkOf(z.object({index})),
);

/** The operators' document of the catalogue, from the VM that leads. */
export interface CatalogueDocument {
  readonly version: number;
  /** `null` before the first catalogue. */
  readonly document: string | null;
}

/** Asks the leader for the newest catalogue; others refuse. */
export const FETCH_DOCUMENT = PeerCall.define<
  {readonly from: string},
  CatalogueDocument
>(
  'control.fetchDocument',
  checkOf(z.object({from: name})),
  checkOf(z.object({version: index, document: z.string().nullable()})),
);

/** Asks a control VM for a part of the audit trail. */
export const FETCH_AUDIT = PeerCall.define(
  'control.fetchAudit',
  checkOf<AuditRange>(z.object({afterIndex: z.int(), from: z.number()})),
  checkOf(auditSchema),
);
