import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {MemberClient, MemberError, MemberStatus} from '@apricotlock/member';
import {Address, DatabaseGroup, Member} from '@apricotlock/topology';
import {CurrentPosition} from '../src/index.js';

const TERM = 3;

function member(name: string, port: number): Member {
  const address = {host: '127.0.0.1', port};
  return {
    name,
    database: 'ledger',
    dataCentre: 'catania',
    address,
    apiAddress: address,
    incarnation: 1,
    state: 'active',
  };
}

const GROUP: DatabaseGroup = {
  database: 'ledger',
  size: 3,
  term: TERM,
  primary: 'a',
  members: [member('a', 1), member('b', 2), member('c', 3)],
};

function status(name: string, change: Partial<MemberStatus>): MemberStatus {
  return {
    name,
    database: 'ledger',
    fencedTerm: TERM,
    term: TERM,
    role: name === 'a' ? 'primary' : 'replica',
    following: true,
    received: 100n,
    applied: 100n,
    ...change,
  };
}

/** Answers with what the test says, by port. */
class FakeMemberClient extends MemberClient {
  asked = 0;

  private constructor(
    private readonly statuses: ReadonlyMap<number, MemberStatus>,
  ) {
    super();
  }

  static of(statuses: ReadonlyMap<number, MemberStatus>): FakeMemberClient {
    return new FakeMemberClient(statuses);
  }

  override async status(
    address: Address,
  ): Promise<Either<MemberError, MemberStatus>> {
    this.asked += 1;
    const found = this.statuses.get(address.port);
    return found === undefined ? Left({kind: 'timedOut'}) : Right(found);
  }

  override fence(): never {
    throw new Error('not asked for here');
  }

  override promote(): never {
    throw new Error('not asked for here');
  }

  override follow(): never {
    throw new Error('not asked for here');
  }
}

describe('CurrentPosition', () => {
  const primary = status('a', {received: 120n});

  function reading(statuses: ReadonlyArray<readonly [number, MemberStatus]>) {
    const client = FakeMemberClient.of(new Map(statuses));
    return {client, reader: CurrentPosition.of(client, () => GROUP)};
  }

  it('gives the position that a majority bears out', async () => {
    const {reader} = reading([
      [1, primary],
      [2, status('b', {})],
    ]);
    expect(await reader.read(TERM)).to.equal(120n);
  });

  it('gives none when the primary is cut off from the others', async () => {
    const {reader} = reading([[1, primary]]);
    expect(await reader.read(TERM)).to.equal(undefined);
  });

  it('gives none when the others are fenced at a later term', async () => {
    const fencedTerm = TERM + 1;
    const {reader} = reading([
      [1, primary],
      [2, status('b', {fencedTerm})],
      [3, status('c', {fencedTerm})],
    ]);
    expect(await reader.read(TERM)).to.equal(undefined);
  });

  it('puts one question for all who ask while one is under way', async () => {
    const {client, reader} = reading([
      [1, primary],
      [2, status('b', {})],
      [3, status('c', {})],
    ]);
    const questions = Array.from({length: 10}, () => reader.read(TERM));
    expect(await Promise.all(questions)).to.deep.equal(
      questions.map(() => 120n),
    );
    expect(client.asked).to.equal(2 * GROUP.members.length);
  });
});
