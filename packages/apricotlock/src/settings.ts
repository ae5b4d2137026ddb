import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {
  FaultTolerance,
  InitialVoter,
  MAXIMUM_VOTERS,
} from '@apricotlock/control';
import {LogFormat} from '@apricotlock/logging';
import {Address, parseAddress} from '@apricotlock/topology';
import {Credentials} from './credentials.js';
import {RawSettings, SettingValidationError} from './setting_descriptions.js';

/** More losses would need more voters than a cluster may have. */
const MAXIMUM_TOLERATED_LOSSES = Math.floor((MAXIMUM_VOTERS - 1) / 2);
const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

/** The validated settings of one process. */
export interface Settings {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerAddress: Address;
  readonly peerAddress: Address;
  readonly operatorAddress: Address;
  readonly seeds: readonly Address[];
  readonly controlVoter: boolean;
  readonly initialVoters: readonly InitialVoter[];
  readonly replaceVoterMilliseconds: number;
  /** The losses to survive; `undefined` to keep the number of initial voters. */
  readonly faultTolerance: FaultTolerance | undefined;
  readonly dataFolder: string | undefined;
  readonly credentials: Credentials;
  readonly memberUser: string;
  readonly drainMilliseconds: number;
  readonly balancerMilliseconds: number;
  readonly logFormat: LogFormat;
  readonly logLevel: number;
}

const nameSchema = z.string().regex(NAME_PATTERN, {
  error: 'must be at most 63 of a-z, 0-9 and -, starting with a letter',
});

const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text);
  if (address.isLeft()) {
    context.addIssue({code: 'custom', message: 'must be IP:PORT'});
  }
  return address.orDefault({host: '', port: 0});
});

const initialVoterSchema = z.string().transform((text, context) => {
  const [name = '', address = ''] = text.split('=');
  const parsed = parseAddress(address);
  if (parsed.isLeft() || !NAME_PATTERN.test(name)) {
    context.addIssue({code: 'custom', message: 'must be NAME=IP:PORT'});
  }
  return {name, address: parsed.orDefault({host: '', port: 0})};
});

const settingsSchema = z.object({
  name: nameSchema,
  'data-centre': nameSchema,
  'caller-address': addressSchema,
  'peer-address': addressSchema,
  'operator-address': addressSchema,
  seeds: z
    .string()
    .transform(text => text.split(',').filter(part => part !== ''))
    .pipe(z.array(addressSchema)),
  'initial-voters': z
    .string()
    .transform(text => text.split(',').filter(part => part !== ''))
    .pipe(z.array(initialVoterSchema).max(MAXIMUM_VOTERS)),
  'replace-voter-milliseconds': z.coerce.number().int().min(1_000),
  'tolerated-disk-losses': z
    .string()
    .transform(text => (text === '' ? undefined : Number(text)))
    .pipe(z.int().min(0).max(MAXIMUM_TOLERATED_LOSSES).optional()),
  'tolerated-data-centre-losses': z.coerce
    .number()
    .int()
    .min(0)
    .max(MAXIMUM_TOLERATED_LOSSES),
  'control-voter': z.enum(['true', 'false']).transform(text => text === 'true'),
  'data-folder': z.string().transform(text => text || undefined),
  'member-user': z.string().min(1),
  'drain-milliseconds': z.coerce.number().int().min(0).max(3_600_000),
  'balancer-milliseconds': z.coerce.number().int().min(0).max(3_600_000),
  'log-format': z.enum(['text', 'json']),
  'log-level': z.coerce.number().int().min(0).max(5),
});

/** Validates all settings and reads credential files. Returns all errors. */
export function checkSettings(
  raw: RawSettings,
): Either<readonly SettingValidationError[], Settings> {
  const result = settingsSchema.safeParse(raw);
  const credentials = Credentials.load(raw);
  const errors = [
    ...(result.error?.issues ?? []).map(issue => ({
      flag: `--${String(issue.path[0])}`,
      message: issue.message,
    })),
    ...validateVoterSettings(raw),
    ...Either.lefts([credentials]).flat(),
  ];
  if (!result.success || errors.length > 0) return Left(errors);
  return Right(createSettings(result.data, credentials.unsafeCoerce()));
}

function validateVoterSettings(
  raw: RawSettings,
): readonly SettingValidationError[] {
  if (raw['control-voter'] !== 'true') return [];
  const errors: SettingValidationError[] = [];
  if (!raw['data-folder']) {
    const message = 'is required for a control voter';
    errors.push({flag: '--data-folder', message});
  }
  if (!raw['initial-voters']) {
    const message = 'is required for a control voter';
    errors.push({flag: '--initial-voters', message});
  }
  return errors;
}

function createSettings(
  data: z.infer<typeof settingsSchema>,
  credentials: Credentials,
): Settings {
  return {
    name: data.name,
    dataCentre: data['data-centre'],
    callerAddress: data['caller-address'],
    peerAddress: data['peer-address'],
    operatorAddress: data['operator-address'],
    seeds: data.seeds,
    controlVoter: data['control-voter'],
    initialVoters: data['initial-voters'],
    replaceVoterMilliseconds: data['replace-voter-milliseconds'],
    faultTolerance: createFaultTolerance(data),
    dataFolder: data['data-folder'],
    credentials,
    memberUser: data['member-user'],
    drainMilliseconds: data['drain-milliseconds'],
    balancerMilliseconds: data['balancer-milliseconds'],
    logFormat: data['log-format'],
    logLevel: data['log-level'],
  };
}

function createFaultTolerance(
  data: z.infer<typeof settingsSchema>,
): FaultTolerance | undefined {
  const disks = data['tolerated-disk-losses'];
  if (disks === undefined) return undefined;
  return {disks, dataCentres: data['tolerated-data-centre-losses']};
}
