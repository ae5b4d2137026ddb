import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {InitialVoter, MAXIMUM_VOTERS} from '@apricotlock/control';
import {LogFormat} from '@apricotlock/logging';
import {Address, parseAddress} from '@apricotlock/topology';
import {Credentials} from './credentials.js';
import {RawSettings, SettingFault} from './setting_descriptions.js';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

/** The settings of one process. */
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
  readonly dataFolder: string | undefined;
  readonly credentials: Credentials;
  readonly memberUser: string;
  readonly drainMilliseconds: number;
  readonly balancerMilliseconds: number;
  readonly logFormat: LogFormat;
  readonly logLevel: number;
}

const nameSchema = z.string().regex(NAME_PATTERN, {
  error: 'lower case letters, digits and hyphens, at most 63',
});

const addressSchema = z.string().transform((text, context): Address => {
  const address = parseAddress(text);
  if (address.isLeft()) {
    context.addIssue({code: 'custom', message: 'an IP number and port'});
  }
  return address.orDefault({host: '', port: 0});
});

const initialVoterSchema = z.string().transform((text, context) => {
  const [name = '', address = ''] = text.split('=');
  const parsed = parseAddress(address);
  if (parsed.isLeft() || !NAME_PATTERN.test(name)) {
    context.addIssue({code: 'custom', message: 'NAME=IP:PORT'});
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
  'control-voter': z.enum(['true', 'false']).transform(text => text === 'true'),
  'data-folder': z.string().transform(text => text || undefined),
  'member-user': z.string().min(1),
  'drain-milliseconds': z.coerce.number().int().min(0).max(3_600_000),
  'balancer-milliseconds': z.coerce.number().int().min(0).max(3_600_000),
  'log-format': z.enum(['text', 'json']),
  'log-level': z.coerce.number().int().min(0).max(5),
});

/** Checks all settings; every fault is named at once. */
export function checkSettings(
  raw: RawSettings,
): Either<readonly SettingFault[], Settings> {
  const result = settingsSchema.safeParse(raw);
  const credentials = Credentials.load(raw);
  const faults = [
    ...(result.error?.issues ?? []).map(issue => ({
      flag: `--${String(issue.path[0])}`,
      message: issue.message,
    })),
    ...voterFaults(raw),
    ...Either.lefts([credentials]).flat(),
  ];
  if (!result.success || faults.length > 0) return Left(faults);
  return Right(settingsOf(result.data, credentials.unsafeCoerce()));
}

function voterFaults(raw: RawSettings): readonly SettingFault[] {
  if (raw['control-voter'] !== 'true') return [];
  const faults: SettingFault[] = [];
  if (!raw['data-folder']) {
    const message = 'a control voter needs a data folder';
    faults.push({flag: '--data-folder', message});
  }
  if (!raw['initial-voters']) {
    const message = 'a control voter needs to know the first voters';
    faults.push({flag: '--initial-voters', message});
  }
  return faults;
}

function settingsOf(
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
    dataFolder: data['data-folder'],
    credentials,
    memberUser: data['member-user'],
    drainMilliseconds: data['drain-milliseconds'],
    balancerMilliseconds: data['balancer-milliseconds'],
    logFormat: data['log-format'],
    logLevel: data['log-level'],
  };
}
