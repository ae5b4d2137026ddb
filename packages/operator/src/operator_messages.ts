import {z} from 'zod';

/** The state of one VM, as reported by the API. */
export interface MachineReport {
  readonly name: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly controlVoter: boolean;
  readonly state: string;
}

/** The state of one backend server, as reported by the API. */
export interface ServerReport {
  readonly name: string;
  readonly database: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: string;
  readonly role: string;
  readonly owner: string;
}

/** The state of one database group, as reported by the API. */
export interface DatabaseReport {
  readonly database: string;
  readonly term: number;
  readonly primary: string | null;
  readonly members: number;
  readonly size: number;
}

/** The response of `GET /v1/status`. */
export interface StatusReport {
  readonly machine: string;
  readonly dataCentre: string;
  readonly leader: string | null;
  readonly viewIndex: number;
  /** An upper bound on the age of that view; `null` if it is not known. */
  readonly viewAgeMilliseconds: number | null;
  readonly catalogueVersion: number;
  readonly machines: readonly MachineReport[];
  readonly databases: readonly DatabaseReport[];
}

/** The result of an operator's change. */
export interface ChangeReport {
  readonly result: 'accepted' | 'conflict' | 'refused';
  readonly version?: number;
  readonly index?: number;
  readonly reason?: string;
  /** Only with `?wait`: the VMs that have not confirmed the change. */
  readonly missing?: readonly string[];
}

/**
 * The body of `PUT /v1/catalogue`; entries and organisations are validated
 * separately. Without organisations, they remain as they are.
 */
export const putCatalogueSchema = z.strictObject({
  changeId: z.string().min(1).max(200),
  baseVersion: z.int().min(0),
  entries: z.array(z.unknown()),
  organisations: z.array(z.unknown()).optional(),
});

/** The query of `GET /v1/audit`. */
export const auditQuerySchema = z.object({
  /** Selects records after this index of the log. */
  since: z.coerce.number().int().min(0).default(0),
  /** Selects records from this time on (milliseconds since the Unix epoch). */
  from: z.coerce.number().min(0).default(0),
});

/** The body of `POST /v1/servers/:name/:action`. */
export const serverChangeSchema = z.strictObject({
  changeId: z.string().min(1).max(200),
});
