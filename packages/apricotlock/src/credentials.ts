import {createHash, createPrivateKey, X509Certificate} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createSecureContext, SecureContext} from 'node:tls';
import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {SecretRing, ringOf, TlsIdentity} from '@apricotlock/peer';
import {RawSettings, SettingFault} from './setting_descriptions.js';

const MINIMUM_SECRET_CHARACTERS = 16;
const MAXIMUM_SECRETS = 4;

type Reading<T> = Either<readonly SettingFault[], T>;

/** All that proves the process to others, and others to it, as read once. */
export interface CredentialSet {
  readonly peerKeys: SecretRing;
  readonly memberKeys: SecretRing;
  readonly operatorTokens: SecretRing;
  readonly metricsTokens: SecretRing | undefined;
  readonly memberPassword: string | undefined;
  readonly peerTls: TlsIdentity | undefined;
  readonly operatorTls: ServerIdentity | undefined;
  readonly callerTls: SecureContext | undefined;
}

/** With what a server proves itself to its clients, as PEM texts. */
export interface ServerIdentity {
  readonly certificate: string;
  readonly privateKey: string;
}

/** The credentials of the process, read anew from their files on demand. */
export class Credentials {
  readonly peerKeys: Observable<SecretRing>;
  readonly memberKeys: Observable<SecretRing>;
  readonly operatorTokens: Observable<SecretRing>;
  readonly metricsTokens: Observable<SecretRing | undefined>;
  readonly peerTls: Observable<TlsIdentity | undefined>;
  readonly operatorTls: Observable<ServerIdentity | undefined>;

  private constructor(
    private readonly raw: RawSettings,
    private set: CredentialSet,
    private written: string,
  ) {
    this.peerKeys = Observable.of(set.peerKeys);
    this.memberKeys = Observable.of(set.memberKeys);
    this.operatorTokens = Observable.of(set.operatorTokens);
    this.metricsTokens = Observable.of(set.metricsTokens);
    this.peerTls = Observable.of(set.peerTls);
    this.operatorTls = Observable.of(set.operatorTls);
  }

  /** Reads every file that the settings name; every fault is named. */
  static load(raw: RawSettings): Reading<Credentials> {
    const written = fingerprint(raw);
    return readAll(raw).map(set => new Credentials(raw, set, written));
  }

  /** The password for backend servers. */
  get memberPassword(): string | undefined {
    return this.set.memberPassword;
  }

  /** With what the process proves itself to callers. */
  get callerTls(): SecureContext | undefined {
    return this.set.callerTls;
  }

  /**
   * Reads the files again if one has changed, and tells whether it has taken
   * them over. If a file is bad, all stay as they were.
   */
  reload(): Reading<boolean> {
    const written = fingerprint(this.raw);
    if (written === this.written) return Right(false);
    return readAll(this.raw).map(set => {
      this.written = written;
      this.takeOver(set);
      return true;
    });
  }

  private takeOver(set: CredentialSet): void {
    this.set = set;
    this.peerKeys.set(set.peerKeys);
    this.memberKeys.set(set.memberKeys);
    this.operatorTokens.set(set.operatorTokens);
    this.metricsTokens.set(set.metricsTokens);
    this.peerTls.set(set.peerTls);
    this.operatorTls.set(set.operatorTls);
  }
}

function readAll(raw: RawSettings): Reading<CredentialSet> {
  const peerKeys = readSecrets(raw, 'peer-key-file');
  const memberKeys = readSecrets(raw, 'member-key-file');
  const operatorTokens = readSecrets(raw, 'operator-token-file');
  const metricsTokens = ifSet(raw, 'metrics-token-file', readSecrets);
  const password = ifSet(raw, 'member-password-file', readSecrets);
  const peerTls = readPeerTls(raw);
  const operatorTls = readServerTls(raw, 'operator');
  const callerTls = readServerTls(raw, 'caller');
  const faults = [
    peerKeys,
    memberKeys,
    operatorTokens,
    metricsTokens,
    password,
    peerTls,
    operatorTls,
    callerTls,
  ].flatMap(reading => Either.lefts([reading as Reading<unknown>]).flat());
  if (faults.length > 0) return Left(faults);
  return Right({
    peerKeys: peerKeys.unsafeCoerce(),
    memberKeys: memberKeys.unsafeCoerce(),
    operatorTokens: operatorTokens.unsafeCoerce(),
    metricsTokens: metricsTokens.unsafeCoerce(),
    memberPassword: password.unsafeCoerce()?.current,
    peerTls: peerTls.unsafeCoerce(),
    operatorTls: operatorTls.unsafeCoerce(),
    callerTls: contextOf(callerTls.unsafeCoerce()),
  });
}

/** One secret a line: the first is sent, all are accepted. */
function readSecrets(raw: RawSettings, flag: string): Reading<SecretRing> {
  return readFile(raw, flag).chain(text => {
    const secrets = text
      .split('\n')
      .map(line => line.trim())
      .filter(line => line !== '');
    const [current, ...others] = secrets;
    const short = secrets.some(
      secret => secret.length < MINIMUM_SECRET_CHARACTERS,
    );
    if (current === undefined || short) {
      const needed = `needs ${MINIMUM_SECRET_CHARACTERS} characters or more`;
      return fault(flag, `each line of the file ${needed}`);
    }
    if (secrets.length > MAXIMUM_SECRETS) {
      return fault(flag, `the file has more than ${MAXIMUM_SECRETS} lines`);
    }
    return Right(ringOf(current, ...others));
  });
}

function readPeerTls(raw: RawSettings): Reading<TlsIdentity | undefined> {
  const authorityFlag = 'peer-authority-file';
  const identity = readServerTls(raw, 'peer');
  const authority = ifSet(raw, authorityFlag, readFile);
  return identity.chain(server =>
    authority.chain(signer => {
      if (server === undefined && signer === undefined) return Right(undefined);
      if (server === undefined || signer === undefined) {
        const flags = 'a certificate, a private key and an authority';
        return fault(authorityFlag, `TLS between VMs needs ${flags}`);
      }
      return isCertificate(signer)
        ? Right({...server, authority: signer})
        : fault(authorityFlag, 'the file holds no certificate');
    }),
  );
}

function readServerTls(
  raw: RawSettings,
  side: 'peer' | 'operator' | 'caller',
): Reading<ServerIdentity | undefined> {
  const certificateFlag = `${side}-certificate-file`;
  const keyFlag = `${side}-private-key-file`;
  const certificate = ifSet(raw, certificateFlag, readFile);
  const privateKey = ifSet(raw, keyFlag, readFile);
  return certificate.chain(signed =>
    privateKey.chain(key => {
      if (signed === undefined && key === undefined) return Right(undefined);
      if (signed === undefined || key === undefined) {
        return fault(certificateFlag, `and --${keyFlag} go together`);
      }
      return belongTogether(signed, key)
        ? Right({certificate: signed, privateKey: key})
        : fault(keyFlag, 'is not the key of the certificate, or one is bad');
    }),
  );
}

function belongTogether(certificate: string, privateKey: string): boolean {
  try {
    const key = createPrivateKey(privateKey);
    return new X509Certificate(certificate).checkPrivateKey(key);
  } catch {
    return false;
  }
}

function isCertificate(text: string): boolean {
  try {
    return new X509Certificate(text).ca;
  } catch {
    return false;
  }
}

function contextOf(identity?: ServerIdentity): SecureContext | undefined {
  if (identity === undefined) return undefined;
  const {certificate: cert, privateKey: key} = identity;
  return createSecureContext({cert, key});
}

function ifSet<T>(
  raw: RawSettings,
  flag: string,
  read: (raw: RawSettings, flag: string) => Reading<T>,
): Reading<T | undefined> {
  const path = raw[flag];
  const isSet = path !== undefined && path !== '';
  return isSet ? read(raw, flag) : Right(undefined);
}

function readFile(raw: RawSettings, flag: string): Reading<string> {
  const path = raw[flag];
  if (path === undefined || path === '') return fault(flag, 'is needed');
  try {
    return Right(readFileSync(path, 'utf8'));
  } catch {
    return fault(flag, 'the file cannot be read');
  }
}

/** What the files hold, without what they say. */
function fingerprint(raw: RawSettings): string {
  const texts = CREDENTIAL_FLAGS.map(flag =>
    ifSet(raw, flag, readFile).orDefault(undefined),
  );
  return createHash('sha256').update(JSON.stringify(texts)).digest('hex');
}

const CREDENTIAL_FLAGS: readonly string[] = [
  'peer-key-file',
  'member-key-file',
  'operator-token-file',
  'metrics-token-file',
  'member-password-file',
  'peer-certificate-file',
  'peer-private-key-file',
  'peer-authority-file',
  'operator-certificate-file',
  'operator-private-key-file',
  'caller-certificate-file',
  'caller-private-key-file',
];

function fault(flag: string, message: string): Either<SettingFault[], never> {
  return Left([{flag: `--${flag}`, message}]);
}
