import {createHmac, randomBytes} from 'node:crypto';
import {Either, Left, Right} from 'purify-ts';
import {
  Catalogue,
  CatalogueEntry,
  EntryVerifier,
  findEntry,
} from '@apricotlock/topology';
import {
  AcceptError,
  CallerAuthentication,
  StartUpParameters,
} from '@apricotlock/wire';

/** SCRAM parameters of the mock verifiers for unknown users. */
const MOCK_ITERATIONS = 4096;
const MOCK_SALT_BYTES = 16;

/** Authenticates and authorizes callers by the entries of the catalogue. */
export class CallerAuthenticator {
  /** Keeps the salt of each unknown user stable while the process runs. */
  private readonly mockKey = randomBytes(32);

  private constructor(private readonly catalogue: () => Catalogue) {}

  /** Creates an authenticator; `catalogue` returns the latest catalogue. */
  static create(catalogue: () => Catalogue): CallerAuthenticator {
    return new CallerAuthenticator(catalogue);
  }

  /** Returns the catalogue entry of a user. */
  entryFor(user: string): CatalogueEntry | undefined {
    return findEntry(this.catalogue(), user);
  }

  /**
   * Returns how a user has to authenticate. If any entry has a password, an
   * unknown user is also asked for one, against a mock verifier that no
   * password satisfies. Clients therefore cannot find out which entries exist.
   */
  authenticate({
    user,
  }: StartUpParameters): Either<AcceptError, CallerAuthentication> {
    const entry = this.entryFor(user);
    if (entry === undefined && !this.anyEntryHasPassword()) {
      return Left({kind: 'unknownUser', user});
    }
    const verifier =
      entry === undefined ? this.mockVerifier(user) : entry.verifier;
    if (verifier === undefined) return Right({method: 'trust'});
    return Right({method: 'scram', verifier});
  }

  /** Checks whether an authenticated user may use the requested database. */
  authorize(parameters: StartUpParameters): Either<AcceptError, void> {
    const {user} = parameters;
    const database = parameters['database'] ?? user;
    const allowed = this.entryFor(user)?.database === database;
    return allowed
      ? Right(undefined)
      : Left({kind: 'unknownDatabase', database});
  }

  private anyEntryHasPassword(): boolean {
    return this.catalogue().entries.some(
      ({verifier}) => verifier !== undefined,
    );
  }

  private mockVerifier(user: string): EntryVerifier {
    const derive = (part: string) =>
      createHmac('sha256', this.mockKey).update(`${part}\0${user}`).digest();
    return {
      salt: derive('salt').subarray(0, MOCK_SALT_BYTES).toString('base64'),
      iterations: MOCK_ITERATIONS,
      storedKey: derive('stored key').toString('base64'),
      serverKey: derive('server key').toString('base64'),
    };
  }
}
