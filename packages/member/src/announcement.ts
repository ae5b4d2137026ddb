import {z} from 'zod';
import {
  Address,
  isConnectable,
  Member,
  parseAddress,
} from '@apricotlock/topology';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text).toMaybe().filter(isConnectable);
  if (address.isNothing()) {
    context.addIssue({code: 'custom', message: 'invalid address'});
  }
  return address.orDefault({host: '', port: 0});
});

const announcementSchema = z.strictObject({
  name: z.string().regex(NAME_PATTERN),
  database: z.string().regex(NAME_PATTERN),
  dataCentre: z.string().regex(NAME_PATTERN),
  address: addressSchema,
  apiAddress: addressSchema,
  incarnation: z.int().min(0),
  capacity: z
    .strictObject({
      connections: z.int().min(1),
      slots: z.int().min(1),
    })
    .optional(),
});

/** The data with which a backend server registers as a member. */
export type Announcement = Omit<Member, 'state'>;

/** Parses the JSON form; returns `undefined` if it is not an announcement. */
export function readAnnouncement(candidate: unknown): Announcement | undefined {
  const result = announcementSchema.safeParse(candidate);
  return result.success ? result.data : undefined;
}
