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

/** All of one side's are given, or none. */
const TLS_SETTINGS: readonly SettingDescription[] = [
  {
    flag: 'peer-certificate-file',
    describe: 'certificate of this VM towards other VMs',
    default: '',
  },
  {
    flag: 'peer-private-key-file',
    describe: 'key of --peer-certificate-file',
    default: '',
  },
  {
    flag: 'peer-authority-file',
    describe: 'authority that signs the certificates of VMs and no others',
    default: '',
  },
  {
    flag: 'operator-certificate-file',
    describe: "certificate of the operators' API",
    default: '',
  },
  {
    flag: 'operator-private-key-file',
    describe: 'key of --operator-certificate-file',
    default: '',
  },
  {
    flag: 'caller-certificate-file',
    describe: 'certificate towards callers, who may then ask for TLS',
    default: '',
  },
  {
    flag: 'caller-private-key-file',
    describe: 'key of --caller-certificate-file',
    default: '',
  },
];

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
  {
    flag: 'peer-key-file',
    describe: 'file with the keys between VMs, one a line, the newest first',
  },
  {
    flag: 'member-key-file',
    describe: 'file with the key between VMs and backend servers',
  },
  {flag: 'operator-token-file', describe: "file with the operators' token"},
  {
    flag: 'metrics-token-file',
    describe: 'file with a token that may read the metrics and no more',
    default: '',
  },
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
  {
    flag: 'balancer-milliseconds',
    describe: 'how long callers are still let in once the VM is not ready',
    default: '2000',
  },
  ...TLS_SETTINGS,
  {flag: 'log-format', describe: 'text or json', default: 'text'},
  {flag: 'log-level', describe: '0 (errors) to 5 (everything)', default: '3'},
];

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
