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

const MOCK_ITERATIONS = 4096;
const MOCK_SALT_BYTES = 16;

/** Decides who may connect, by the catalogue. */
export class EntryGatekeeper {
  /** Keeps the salts of unknown users the same while the process lives. */
  private readonly mockKey = randomBytes(32);

  private constructor(private readonly catalogue: () => Catalogue) {}

  /** A gatekeeper that goes by the newest catalogue. */
  static create(catalogue: () => Catalogue): EntryGatekeeper {
    return new EntryGatekeeper(catalogue);
  }

  /** The entry of a user. */
  entryOf(user: string): CatalogueEntry | undefined {
    return findEntry(this.catalogue(), user);
  }

  /**
   * How a user is to prove who it is. Where any entry has a password, an
   * unknown user is asked for one too and never has the right one: so nobody
   * learns which entries there are.
   */
  authenticate({
    user,
  }: StartUpParameters): Either<AcceptError, CallerAuthentication> {
    const entry = this.entryOf(user);
    if (entry === undefined && !this.anyHasPassword()) {
      return Left({kind: 'unknownUser', user});
    }
    const verifier =
      entry === undefined ? this.mockVerifier(user) : entry.verifier;
    if (verifier === undefined) return Right({method: 'trust'});
    return Right({method: 'scram', verifier});
  }

  /** Whether a user who has proved who it is may have the database. */
  authorize(parameters: StartUpParameters): Either<AcceptError, void> {
    const {user} = parameters;
    const database = parameters['database'] ?? user;
    const known = this.entryOf(user)?.database === database;
    return known ? Right(undefined) : Left({kind: 'unknownDatabase', database});
  }

  private anyHasPassword(): boolean {
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
