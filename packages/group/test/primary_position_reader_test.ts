import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {MemberClient, MemberError, MemberStatus} from '@apricotlock/member';
import {Address, DatabaseGroup, Member} from '@apricotlock/topology';
import {PrimaryPositionReader} from '../src/index.js';

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

/** Answers with the given status of the member at each port. */
class FakeMemberClient extends MemberClient {
  requestCount = 0;

  private constructor(
    private readonly statuses: ReadonlyMap<number, MemberStatus>,
  ) {
    super();
  }

  static of(statuses: ReadonlyMap<number, MemberStatus>): FakeMemberClient {
    return new FakeMemberClient(statuses);
  }

  override async fetchStatus(
    address: Address,
  ): Promise<Either<MemberError, MemberStatus>> {
    this.requestCount += 1;
    const found = this.statuses.get(address.port);
    return found === undefined ? Left({kind: 'timedOut'}) : Right(found);
  }

  override fence(): never {
    throw new Error('not implemented by the fake client');
  }

  override promote(): never {
    throw new Error('not implemented by the fake client');
  }

  override follow(): never {
    throw new Error('not implemented by the fake client');
  }
}

describe('PrimaryPositionReader', () => {
  const primary = status('a', {received: 120n});

  function createReader(
    statuses: ReadonlyArray<readonly [number, MemberStatus]>,
  ) {
    const client = FakeMemberClient.of(new Map(statuses));
    return {client, reader: PrimaryPositionReader.create(client, () => GROUP)};
  }

  it('returns the position if a majority confirms it', async () => {
    const {reader} = createReader([
      [1, primary],
      [2, status('b', {})],
    ]);
    expect(await reader.read(TERM)).to.equal(120n);
  });

  it('returns no position if no other member can be reached', async () => {
    const {reader} = createReader([[1, primary]]);
    expect(await reader.read(TERM)).to.equal(undefined);
  });

  it('returns no position if others are fenced at a later term', async () => {
    const fencedTerm = TERM + 1;
    const {reader} = createReader([
      [1, primary],
      [2, status('b', {fencedTerm})],
      [3, status('c', {fencedTerm})],
    ]);
    expect(await reader.read(TERM)).to.equal(undefined);
  });

  it('shares one query among reads requested while one is running', async () => {
    const {client, reader} = createReader([
      [1, primary],
      [2, status('b', {})],
      [3, status('c', {})],
    ]);
    const reads = Array.from({length: 10}, () => reader.read(TERM));
    expect(await Promise.all(reads)).to.deep.equal(reads.map(() => 120n));
    expect(client.requestCount).to.equal(2 * GROUP.members.length);
  });
});
