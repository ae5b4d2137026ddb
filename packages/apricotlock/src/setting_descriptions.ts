/** A setting that is missing or invalid. */
export interface SettingValidationError {
  /** The flag, such as `--peer-address`. */
  readonly flag: string;
  readonly message: string;
}

/** Describes a setting, for command-line help and the reference page. */
export interface SettingDescription {
  readonly flag: string;
  readonly describe: string;
  readonly default?: string;
  readonly boolean?: boolean;
  readonly list?: boolean;
}

/** The TLS settings; those with the same prefix must be set together. */
const TLS_SETTINGS: readonly SettingDescription[] = [
  {
    flag: 'peer-certificate-file',
    describe: 'certificate of this VM for connections between VMs',
    default: '',
  },
  {
    flag: 'peer-private-key-file',
    describe: 'private key of --peer-certificate-file',
    default: '',
  },
  {
    flag: 'peer-authority-file',
    describe: 'CA certificate that signs the certificates of VMs and no others',
    default: '',
  },
  {
    flag: 'operator-certificate-file',
    describe: "certificate of the operators' API; enables TLS",
    default: '',
  },
  {
    flag: 'operator-private-key-file',
    describe: 'private key of --operator-certificate-file',
    default: '',
  },
  {
    flag: 'caller-certificate-file',
    describe: 'certificate for callers; allows callers to use TLS',
    default: '',
  },
  {
    flag: 'caller-private-key-file',
    describe: 'private key of --caller-certificate-file',
    default: '',
  },
];

/**
 * Every setting. Each flag `--x-y` can also be set by the environment variable
 * `APRICOTLOCK_X_Y`.
 */
export const SETTING_DESCRIPTIONS: readonly SettingDescription[] = [
  {flag: 'name', describe: 'name of this VM, unique in the system'},
  {flag: 'data-centre', describe: 'data centre in which this VM runs'},
  {flag: 'caller-address', describe: 'address for callers, as IP:PORT'},
  {flag: 'peer-address', describe: 'address for other VMs, as IP:PORT'},
  {
    flag: 'operator-address',
    describe: "address for the operators' API and announcements, as IP:PORT",
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
      'voters of a new system as NAME=IP:PORT (peer addresses), ' +
      'separated by commas, identical on every control VM',
    list: true,
    default: '',
  },
  {
    flag: 'replace-voter-milliseconds',
    describe: 'time without contact after which a spare replaces a voter',
    default: '60000',
  },
  {
    flag: 'tolerated-disk-losses',
    describe:
      'disks of voters that may be lost at once; decides the number of ' +
      'voters, by default as many as initial voters',
    default: '',
  },
  {
    flag: 'tolerated-data-centre-losses',
    describe: 'data centres that may be unreachable at once',
    default: '1',
  },
  {
    flag: 'data-folder',
    describe: 'folder for data that must survive a restart',
    default: '',
  },
  {
    flag: 'peer-key-file',
    describe: 'file with the keys shared by VMs, one per line, newest first',
  },
  {
    flag: 'member-key-file',
    describe: 'file with the key shared by VMs and backend servers',
  },
  {flag: 'operator-token-file', describe: 'file with the operator token'},
  {
    flag: 'metrics-token-file',
    describe: 'file with a token that gives access to the metrics only',
    default: '',
  },
  {
    flag: 'member-user',
    describe: 'user name for connections to backend servers',
    default: 'apricotlock',
  },
  {
    flag: 'member-password-file',
    describe: 'file with the password of --member-user',
    default: '',
  },
  {
    flag: 'drain-milliseconds',
    describe: 'time that a shutdown waits for open transactions',
    default: '10000',
  },
  {
    flag: 'balancer-milliseconds',
    describe: 'time that callers are still accepted once the VM is not ready',
    default: '2000',
  },
  ...TLS_SETTINGS,
  {flag: 'log-format', describe: 'text or json', default: 'text'},
  {flag: 'log-level', describe: '0 (errors) to 5 (everything)', default: '3'},
];

/** Unvalidated values by name: flags, or environment variables. */
export type RawSettings = Readonly<Record<string, string | undefined>>;

/** Returns the name of the environment variable for a flag. */
export function environmentVariableName(flag: string): string {
  return `APRICOTLOCK_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/**
 * Returns the value of every setting, by flag name: the flag if it is given,
 * else the environment variable, else the default.
 */
export function gatherSettings(
  flags: RawSettings,
  environment: RawSettings,
): RawSettings {
  const gathered = SETTING_DESCRIPTIONS.map(({flag, default: fallback}) => [
    flag,
    flags[flag] ?? environment[environmentVariableName(flag)] ?? fallback,
  ]);
  return Object.fromEntries(gathered) as RawSettings;
}
