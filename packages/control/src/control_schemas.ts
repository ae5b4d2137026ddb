import {z} from 'zod';
import {ControlCommand} from './control_command.js';
import {AuditTrail, ControlState} from './control_state.js';
import {EntryBody, LogEntry, Snapshot} from './log_entry.js';
import {ViewUpdate} from './view_update.js';

// A command is in the log of every control VM or of none: what the leader has
// appended must be accepted by all its followers, whichever version they run.
// So these schemas check the structure only, and have no limits that a later
// version could change. The limits on values, such as those of the catalogue,
// are checked where a command is created.
const text = z.string();
const count = z.int().min(0);
const time = z.number();

const address = z.object({host: text, port: count});

const origin = z.object({changeId: text.min(1), actor: text, at: time});

// Fields that only later versions know are kept.
const catalogueEntry = z.looseObject({
  name: text,
  owner: text,
  class: z.enum(['critical', 'standard', 'background']),
  database: text,
  members: count,
  limits: z.looseObject({
    connections: count,
    slots: count,
    queueLength: count,
    queueMilliseconds: z.number(),
  }),
  verifier: z
    .looseObject({
      salt: text,
      iterations: count,
      storedKey: text,
      serverKey: text,
    })
    .optional(),
  terms: z
    .looseObject({
      consistency: z.enum(['primary', 'boundedStaleness', 'readYourWrites']),
      maximumStalenessMilliseconds: z.number().optional(),
      statementMilliseconds: z.number(),
      objectiveMilliseconds: z.number().optional(),
      idleTransactionMilliseconds: z.number().optional(),
      priority: count,
      synchronousReplicas: count.optional(),
      allowsAnonymous: z.boolean().optional(),
    })
    .optional(),
});

const organisation = z.looseObject({
  name: text,
  keyDigests: z.array(text),
  priority: count,
  quota: z
    .looseObject({operationsPerSecond: z.number(), burst: z.number()})
    .optional(),
});

// Absent in what earlier versions have written.
const organisations = z.array(organisation).optional();

const announcement = z.object({
  name: text,
  database: text,
  dataCentre: text,
  address,
  apiAddress: address,
  incarnation: count,
  capacity: z.object({connections: count, slots: count}).optional(),
});

/**
 * One schema per kind of command; the type makes a missing one a compile error.
 */
const COMMAND_SCHEMAS: {
  readonly [Kind in ControlCommand['kind']]: z.ZodType<
    Extract<ControlCommand, {readonly kind: Kind}>
  >;
} = {
  putCatalogue: z.object({
    kind: z.literal('putCatalogue'),
    origin,
    baseVersion: count,
    entries: z.array(catalogueEntry),
    organisations,
  }),
  replaceCatalogue: z.object({
    kind: z.literal('replaceCatalogue'),
    version: count,
    entries: z.array(catalogueEntry),
    organisations,
    document: text,
    at: time,
  }),
  reportMember: z.object({
    kind: z.literal('reportMember'),
    report: z.object({
      name: text,
      database: text,
      dataCentre: text,
      address,
      incarnation: count,
      capacity: z.object({connections: count, slots: count}).optional(),
      state: z.enum(['active', 'draining', 'removed']),
      reportSequence: z.number(),
    }),
    at: time,
  }),
  registerMember: z.object({
    kind: z.literal('registerMember'),
    announcement,
    at: time,
  }),
  setMemberState: z.object({
    kind: z.literal('setMemberState'),
    origin,
    member: text,
    state: z.enum(['active', 'draining', 'removed']),
  }),
  beginTerm: z.object({
    kind: z.literal('beginTerm'),
    database: text,
    expectedTerm: count,
    term: count,
    reason: text,
    at: time,
  }),
  orderPromotion: z.object({
    kind: z.literal('orderPromotion'),
    database: text,
    term: count,
    member: text,
    at: time,
  }),
  setPrimary: z.object({
    kind: z.literal('setPrimary'),
    database: text,
    term: count,
    primary: text,
    holder: text.optional(),
    at: time,
  }),
  confirmRemovedLogs: z.object({
    kind: z.literal('confirmRemovedLogs'),
    database: text,
    term: count,
    members: z.array(text),
    at: time,
  }),
};

/** Validates a command from another process. */
export const commandSchema = z.union(
  Object.values(COMMAND_SCHEMAS) as ReadonlyArray<z.ZodType<ControlCommand>>,
);

/** Validates the answer to a command, or the reason why there is none. */
export const proposeOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('accepted'),
    index: count,
    version: count,
    changed: z.boolean().optional(),
  }),
  z.object({kind: z.literal('conflict'), version: count}),
  z.object({kind: z.literal('refused'), reason: z.string()}),
  z.object({kind: z.literal('unavailable'), reason: z.string()}),
  z.object({kind: z.literal('unknown'), reason: z.string()}),
]);

/** Validates a configuration of the log. */
export const configurationSchema = z.object({
  members: z.array(
    z.object({
      name: text,
      diskId: text,
      dataCentre: text,
      address,
      role: z.enum(['voter', 'learner']),
    }),
  ),
});

/**
 * Validates the content of a log entry, on the leader before it is appended and
 * on the followers.
 */
export const entryBodySchema: z.ZodType<EntryBody> = z.discriminatedUnion(
  'kind',
  [
    z.object({kind: z.literal('command'), command: commandSchema}),
    z.object({
      kind: z.literal('configuration'),
      configuration: configurationSchema,
      reason: text,
      at: time,
    }),
    z.object({kind: z.literal('termStart')}),
  ],
);

/** Validates one entry of the log. */
export const logEntrySchema: z.ZodType<LogEntry> = z.object({
  index: z.int().min(1),
  term: count,
  body: entryBodySchema,
});

// These schemas check the structure only: the contents were validated when they
// were proposed as commands.
const entryOutline = z.looseObject({name: text, database: text});
const organisationOutline = z.looseObject({
  name: text,
  keyDigests: z.array(text),
});
const groupOutline = z.looseObject({
  database: text,
  size: count,
  term: count,
  members: z.array(z.looseObject({name: text, address, apiAddress: address})),
});

const view = z.looseObject({
  index: count,
  catalogue: z.looseObject({
    version: count,
    stored: z.literal(true).optional(),
    entries: z.array(entryOutline),
    organisations: z.array(organisationOutline).optional(),
  }),
  groups: z.array(groupOutline),
});

/** Validates the structure of a view update, either a full view or a delta. */
export const viewUpdateSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('delta'),
    delta: z.object({
      fromIndex: count,
      index: count,
      catalogueVersion: count,
      catalogueStored: z.literal(true).optional(),
      entries: z.array(entryOutline),
      removedEntries: z.array(text),
      organisations: z.array(organisationOutline).optional(),
      removedOrganisations: z.array(text).optional(),
      groups: z.array(groupOutline),
    }),
  }),
  z.object({kind: z.literal('full'), view}),
]) as unknown as z.ZodType<ViewUpdate>;

/** Validates part of the audit trail. */
export const auditSchema: z.ZodType<AuditTrail> = z.object({
  index: count,
  records: z.array(
    z.object({
      index: count,
      at: time,
      actor: z.string(),
      action: z.string(),
      subject: z.string(),
      fromVersion: count,
      result: z.string(),
    }),
  ),
});

/**
 * Validates the structure of a state, whose contents were validated as
 * commands.
 */
export const stateSchema = z.object({
  view,
  audit: z.array(z.looseObject({index: count})),
  answers: z.array(z.looseObject({changeId: text})),
  document: z.string().optional(),
}) as unknown as z.ZodType<ControlState>;

/** Validates a snapshot. */
export const snapshotSchema: z.ZodType<Snapshot> = z.object({
  index: count,
  term: count,
  configuration: configurationSchema,
  state: stateSchema,
});
