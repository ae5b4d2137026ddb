import {readFileSync} from 'node:fs';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {InitialVoter, MAXIMUM_VOTERS} from '@apricotlock/control';
import {LogFormat} from '@apricotlock/logging';
import {Address, parseAddress} from '@apricotlock/topology';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const MINIMUM_SECRET_CHARACTERS = 16;

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
  readonly peerKey: string;
  readonly memberKey: string;
  readonly operatorToken: string;
  readonly memberUser: string;
  readonly memberPassword: string | undefined;
  readonly drainMilliseconds: number;
  readonly logFormat: LogFormat;
  readonly logLevel: number;
}

/** One thing that is wrong with the settings. */
export interface SettingFault {
  /** The flag, such as `--peer-address`. */
  readonly flag: string;
  readonly message: string;
}

/** One setting, for the command line's help and for the reference page. */
export interface SettingDescription {
  readonly flag: string;
  readonly describe: string;
  readonly default?: string;
  readonly boolean?: boolean;
  readonly list?: boolean;
}

/** Every setting; each flag `--x-y` has a variable `APRICOTLOCK_X_Y` too. */
export const SETTING_DESCRIPTIONS: readonly SettingDescription[] = [
  {flag: 'name', describe: "this VM's name, unique in the system"},
  {flag: 'data-centre', describe: 'the data centre that this VM stands in'},
  {flag: 'caller-address', describe: 'where callers connect, as IP:PORT'},
  {flag: 'peer-address', describe: 'where other VMs connect, as IP:PORT'},
  {
    flag: 'operator-address',
    describe: "the operators' API and announcements, as IP:PORT",
  },
  {
    flag: 'seeds',
    describe: 'peer addresses of some other VMs, separated by commas',
    list: true,
    default: '',
  },
  {
    flag: 'control-voter',
    describe: 'whether this VM may vote on the replicated log',
    boolean: true,
    default: 'false',
  },
  {
    flag: 'initial-voters',
    describe:
      'the voters of a new system as NAME=IP:PORT (peer addresses), ' +
      'separated by commas, alike on every control VM',
    list: true,
    default: '',
  },
  {
    flag: 'replace-voter-milliseconds',
    describe: 'how long a voter is silent before a spare takes its place',
    default: '60000',
  },
  {
    flag: 'data-folder',
    describe: 'the folder for what must survive',
    default: '',
  },
  {flag: 'peer-key-file', describe: 'file with the key between VMs'},
  {
    flag: 'member-key-file',
    describe: 'file with the key between VMs and backend servers',
  },
  {flag: 'operator-token-file', describe: "file with the operators' token"},
  {
    flag: 'member-user',
    describe: 'as whom connections to backend servers are opened',
    default: 'apricotlock',
  },
  {
    flag: 'member-password-file',
    describe: 'file with the password of --member-user',
    default: '',
  },
  {
    flag: 'drain-milliseconds',
    describe: 'how long a shutdown waits for open transactions',
    default: '10000',
  },
  {flag: 'log-format', describe: 'text or json', default: 'text'},
  {flag: 'log-level', describe: '0 (errors) to 5 (everything)', default: '3'},
];

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

const secretFileSchema = z.string().transform((path, context): string => {
  try {
    const secret = readFileSync(path, 'utf8').trim();
    if (secret.length < MINIMUM_SECRET_CHARACTERS) {
      context.addIssue({
        code: 'custom',
        message: `the file needs ${MINIMUM_SECRET_CHARACTERS} characters or more`,
      });
    }
    return secret;
  } catch {
    context.addIssue({code: 'custom', message: 'the file cannot be read'});
    return '';
  }
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
  'peer-key-file': secretFileSchema,
  'member-key-file': secretFileSchema,
  'operator-token-file': secretFileSchema,
  'member-user': z.string().min(1),
  'member-password-file': z
    .string()
    .transform(text => text || undefined)
    .pipe(secretFileSchema.optional()),
  'drain-milliseconds': z.coerce.number().int().min(0).max(3_600_000),
  'log-format': z.enum(['text', 'json']),
  'log-level': z.coerce.number().int().min(0).max(5),
});

/** Flags and variables as texts, by flag name. */
export type RawSettings = Readonly<Record<string, string | undefined>>;

/** The variable that stands for a flag. */
export function variableOf(flag: string): string {
  return `APRICOTLOCK_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/** Joins flags, variables and defaults; a flag goes before a variable. */
export function gatherSettings(
  flags: RawSettings,
  environment: RawSettings,
): RawSettings {
  const gathered = SETTING_DESCRIPTIONS.map(({flag, default: fallback}) => [
    flag,
    flags[flag] ?? environment[variableOf(flag)] ?? fallback,
  ]);
  return Object.fromEntries(gathered) as RawSettings;
}

/** Checks all settings; every fault is named at once. */
export function checkSettings(
  raw: RawSettings,
): Either<readonly SettingFault[], Settings> {
  const result = settingsSchema.safeParse(raw);
  if (!result.success) {
    return Left(
      result.error.issues.map(issue => ({
        flag: `--${String(issue.path[0])}`,
        message: issue.message,
      })),
    );
  }
  const {data} = result;
  if (data['control-voter'] && data['data-folder'] === undefined) {
    const message = 'a control voter needs a data folder';
    return Left([{flag: '--data-folder', message}]);
  }
  if (data['control-voter'] && data['initial-voters'].length === 0) {
    const message = 'a control voter needs to know the first voters';
    return Left([{flag: '--initial-voters', message}]);
  }
  return Right({
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
    peerKey: data['peer-key-file'],
    memberKey: data['member-key-file'],
    operatorToken: data['operator-token-file'],
    memberUser: data['member-user'],
    memberPassword: data['member-password-file'],
    drainMilliseconds: data['drain-milliseconds'],
    logFormat: data['log-format'],
    logLevel: data['log-level'],
  });
}
