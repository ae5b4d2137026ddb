import {createHash, createPrivateKey, X509Certificate} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createSecureContext, SecureContext} from 'node:tls';
import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {KeyRing, createKeyRing, TlsIdentity} from '@apricotlock/peer';
import {RawSettings, SettingValidationError} from './setting_descriptions.js';

const MINIMUM_SECRET_CHARACTERS = 16;
const MAXIMUM_SECRETS = 4;

type ReadResult<T> = Either<readonly SettingValidationError[], T>;

/**
 * The secrets and TLS identities with which this process and its peers
 * authenticate each other, from one read of all files.
 */
export interface CredentialSet {
  readonly peerKeys: KeyRing;
  readonly memberKeys: KeyRing;
  readonly operatorTokens: KeyRing;
  readonly metricsTokens: KeyRing | undefined;
  readonly memberPassword: string | undefined;
  readonly peerTls: TlsIdentity | undefined;
  readonly operatorTls: ServerIdentity | undefined;
  readonly callerTls: SecureContext | undefined;
}

/** The certificate and private key of a TLS server, as PEM texts. */
export interface ServerIdentity {
  readonly certificate: string;
  readonly privateKey: string;
}

/** The credentials of the process, which can be reloaded from their files. */
export class Credentials {
  readonly peerKeys: Observable<KeyRing>;
  readonly memberKeys: Observable<KeyRing>;
  readonly operatorTokens: Observable<KeyRing>;
  readonly metricsTokens: Observable<KeyRing | undefined>;
  readonly peerTls: Observable<TlsIdentity | undefined>;
  readonly operatorTls: Observable<ServerIdentity | undefined>;

  private constructor(
    private readonly raw: RawSettings,
    private set: CredentialSet,
    private loadedFingerprint: string,
  ) {
    this.peerKeys = Observable.of(set.peerKeys);
    this.memberKeys = Observable.of(set.memberKeys);
    this.operatorTokens = Observable.of(set.operatorTokens);
    this.metricsTokens = Observable.of(set.metricsTokens);
    this.peerTls = Observable.of(set.peerTls);
    this.operatorTls = Observable.of(set.operatorTls);
  }

  /** Reads every file that the settings name. Returns the errors of all. */
  static load(raw: RawSettings): ReadResult<Credentials> {
    const loadedFingerprint = computeFingerprint(raw);
    return readAll(raw).map(
      set => new Credentials(raw, set, loadedFingerprint),
    );
  }

  /** The password for connections to backend servers, if one is set. */
  get memberPassword(): string | undefined {
    return this.set.memberPassword;
  }

  /** The TLS context for callers; without it, callers connect without TLS. */
  get callerTls(): SecureContext | undefined {
    return this.set.callerTls;
  }

  /**
   * Reads the files again if one has changed, and returns whether it replaced
   * the credentials. If a file is invalid, returns the errors and keeps all the
   * previous credentials, so that they always match each other.
   */
  reload(): ReadResult<boolean> {
    const newFingerprint = computeFingerprint(this.raw);
    if (newFingerprint === this.loadedFingerprint) return Right(false);
    return readAll(this.raw).map(set => {
      this.loadedFingerprint = newFingerprint;
      this.publish(set);
      return true;
    });
  }

  private publish(set: CredentialSet): void {
    this.set = set;
    this.peerKeys.set(set.peerKeys);
    this.memberKeys.set(set.memberKeys);
    this.operatorTokens.set(set.operatorTokens);
    this.metricsTokens.set(set.metricsTokens);
    this.peerTls.set(set.peerTls);
    this.operatorTls.set(set.operatorTls);
  }
}

function readAll(raw: RawSettings): ReadResult<CredentialSet> {
  const peerKeys = readSecrets(raw, 'peer-key-file');
  const memberKeys = readSecrets(raw, 'member-key-file');
  const operatorTokens = readSecrets(raw, 'operator-token-file');
  const metricsTokens = readIfSet(raw, 'metrics-token-file', readSecrets);
  const password = readIfSet(raw, 'member-password-file', readSecrets);
  const peerTls = readPeerTls(raw);
  const operatorTls = readServerTls(raw, 'operator');
  const callerTls = readServerTls(raw, 'caller');
  const errors = [
    peerKeys,
    memberKeys,
    operatorTokens,
    metricsTokens,
    password,
    peerTls,
    operatorTls,
    callerTls,
  ].flatMap(reading => Either.lefts([reading as ReadResult<unknown>]).flat());
  if (errors.length > 0) return Left(errors);
  return Right({
    peerKeys: peerKeys.unsafeCoerce(),
    memberKeys: memberKeys.unsafeCoerce(),
    operatorTokens: operatorTokens.unsafeCoerce(),
    metricsTokens: metricsTokens.unsafeCoerce(),
    memberPassword: password.unsafeCoerce()?.current,
    peerTls: peerTls.unsafeCoerce(),
    operatorTls: operatorTls.unsafeCoerce(),
    callerTls: createCallerContext(callerTls.unsafeCoerce()),
  });
}

/** Reads one secret per line: the first is sent, and all are accepted. */
function readSecrets(raw: RawSettings, flag: string): ReadResult<KeyRing> {
  return readFile(raw, flag).chain(text => {
    const secrets = text
      .split('\n')
      .map(line => line.trim())
      .filter(line => line !== '');
    const [current, ...others] = secrets;
    const tooShort = secrets.some(
      secret => secret.length < MINIMUM_SECRET_CHARACTERS,
    );
    if (current === undefined || tooShort) {
      const minimum = `needs ${MINIMUM_SECRET_CHARACTERS} characters or more`;
      return settingError(flag, `each line of the file ${minimum}`);
    }
    if (secrets.length > MAXIMUM_SECRETS) {
      return settingError(
        flag,
        `the file has more than ${MAXIMUM_SECRETS} lines`,
      );
    }
    return Right(createKeyRing(current, ...others));
  });
}

function readPeerTls(raw: RawSettings): ReadResult<TlsIdentity | undefined> {
  const authorityFlag = 'peer-authority-file';
  const identityResult = readServerTls(raw, 'peer');
  const authority = readIfSet(raw, authorityFlag, readFile);
  return identityResult.chain(identity =>
    authority.chain(ca => {
      if (identity === undefined && ca === undefined) return Right(undefined);
      if (identity === undefined || ca === undefined) {
        const required = 'a certificate, a private key and a CA certificate';
        return settingError(authorityFlag, `TLS between VMs needs ${required}`);
      }
      return isAuthorityCertificate(ca)
        ? Right({...identity, authority: ca})
        : settingError(authorityFlag, 'the file contains no CA certificate');
    }),
  );
}

function readServerTls(
  raw: RawSettings,
  side: 'peer' | 'operator' | 'caller',
): ReadResult<ServerIdentity | undefined> {
  const certificateFlag = `${side}-certificate-file`;
  const keyFlag = `${side}-private-key-file`;
  const certificate = readIfSet(raw, certificateFlag, readFile);
  const privateKey = readIfSet(raw, keyFlag, readFile);
  return certificate.chain(cert =>
    privateKey.chain(key => {
      if (cert === undefined && key === undefined) return Right(undefined);
      if (cert === undefined || key === undefined) {
        return settingError(
          certificateFlag,
          `must be set together with --${keyFlag}`,
        );
      }
      return isMatchingKeyPair(cert, key)
        ? Right({certificate: cert, privateKey: key})
        : settingError(
            keyFlag,
            'does not match the certificate, or one of them is invalid',
          );
    }),
  );
}

function isMatchingKeyPair(certificate: string, privateKey: string): boolean {
  try {
    const key = createPrivateKey(privateKey);
    return new X509Certificate(certificate).checkPrivateKey(key);
  } catch {
    return false;
  }
}

function isAuthorityCertificate(text: string): boolean {
  try {
    return new X509Certificate(text).ca;
  } catch {
    return false;
  }
}

function createCallerContext(
  identity?: ServerIdentity,
): SecureContext | undefined {
  if (identity === undefined) return undefined;
  const {certificate: cert, privateKey: key} = identity;
  return createSecureContext({cert, key});
}

function readIfSet<T>(
  raw: RawSettings,
  flag: string,
  read: (raw: RawSettings, flag: string) => ReadResult<T>,
): ReadResult<T | undefined> {
  const path = raw[flag];
  const isSet = path !== undefined && path !== '';
  return isSet ? read(raw, flag) : Right(undefined);
}

function readFile(raw: RawSettings, flag: string): ReadResult<string> {
  const path = raw[flag];
  if (path === undefined || path === '') return settingError(flag, 'required');
  try {
    return Right(readFileSync(path, 'utf8'));
  } catch {
    return settingError(flag, 'the file cannot be read');
  }
}

/**
 * Returns a hash of the contents of all files, to detect changes without
 * keeping the contents.
 */
function computeFingerprint(raw: RawSettings): string {
  const texts = CREDENTIAL_FLAGS.map(flag =>
    readIfSet(raw, flag, readFile).orDefault(undefined),
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

function settingError(
  flag: string,
  message: string,
): Either<SettingValidationError[], never> {
  return Left([{flag: `--${flag}`, message}]);
}
