import {z} from 'zod';

/** What the system says of one entry VM. */
export interface MachineReport {
  readonly name: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly controlVoter: boolean;
  readonly state: string;
}

/** What the system says of one backend server. */
export interface ServerReport {
  readonly name: string;
  readonly database: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly state: string;
  readonly role: string;
  readonly owner: string;
}

/** What the system says of one database. */
export interface DatabaseReport {
  readonly database: string;
  readonly term: number;
  readonly primary: string | null;
  readonly members: number;
  readonly size: number;
}

/** The answer of `GET /v1/status`. */
export interface StatusReport {
  readonly machine: string;
  readonly dataCentre: string;
  readonly leader: string | null;
  readonly viewIndex: number;
  /** How old that view may be at most; `null` if the VM cannot tell. */
  readonly viewAgeMilliseconds: number | null;
  readonly catalogueVersion: number;
  readonly machines: readonly MachineReport[];
  readonly databases: readonly DatabaseReport[];
}

/** What an operator's change brings about. */
export interface ChangeReport {
  readonly result: 'accepted' | 'conflict' | 'refused';
  readonly version?: number;
  readonly index?: number;
  readonly reason?: string;
  /** For a change that waits: VMs that have not said it is in force. */
  readonly missing?: readonly string[];
}

/** Checks the body of `PUT /v1/catalogue`; entries are checked apart. */
export const putCatalogueSchema = z.strictObject({
  changeId: z.string().min(1).max(200),
  baseVersion: z.int().min(0),
  entries: z.array(z.unknown()),
});

/** Checks the query of `GET /v1/audit`. */
export const auditQuerySchema = z.object({
  /** Records after this index of the log. */
  since: z.coerce.number().int().min(0).default(0),
  /** Records from this time on, in milliseconds since the Unix epoch. */
  from: z.coerce.number().min(0).default(0),
});

/** Checks the body of `POST /v1/servers/NAME/STATE`. */
export const serverChangeSchema = z.strictObject({
  changeId: z.string().min(1).max(200),
});
