import {expect} from 'chai';
import {Either} from 'purify-ts';
import {SoleControlLog} from '@apricotlock/control';
import {PeerCall, PeerChannel, PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {RENEW_LEASES} from '@apricotlock/work';
import {LEASE_MILLISECONDS, LeaseGrantor} from '../src/index.js';

const DATABASE = 'ledger';

/** Keeps handlers, to be called by the test. */
class FakeNetwork extends PeerNetwork {
  readonly handlers = new Map<string, (request: never) => Promise<unknown>>();

  override call(): never {
    throw new Error('nobody is called here');
  }

  override converse(): PeerChannel<never, never> {
    throw new Error('nobody is called here');
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: (request: Request) => Promise<Either<string, Answer>>,
  ): void {
    this.handlers.set(call.name, handler as never);
  }

  override handleConversation(): void {
    throw new Error('no conversations here');
  }

  override async close(): Promise<void> {
    this.handlers.clear();
  }
}

describe('LeaseGrantor', () => {
  let timer: ManualTimerService;
  let log: SoleControlLog;
  let network: FakeNetwork;
  let grantor: LeaseGrantor;

  beforeEach(async () => {
    timer = ManualTimerService.create();
    timer.advance(100_000);
    log = SoleControlLog.create('control-1');
    network = new FakeNetwork();
    await appoint();
    grantor = LeaseGrantor.start({log, network, timer});
  });

  async function appoint(): Promise<void> {
    const limits = {
      connections: 16,
      slots: 2,
      queueLength: 10,
      queueMilliseconds: 100,
    };
    await log.propose({
      kind: 'replaceCatalogue',
      version: 7,
      document: '{}',
      at: 0,
      entries: [
        {
          name: 'entry',
          owner: 'test',
          class: 'standard',
          database: DATABASE,
          members: 1,
          limits,
        },
      ],
    });
    await log.propose({
      kind: 'reportMember',
      at: 0,
      report: {
        name: 'm1',
        database: DATABASE,
        dataCentre: 'here',
        address: {host: '127.0.0.1', port: 1},
        incarnation: 1,
        state: 'active',
        reportSequence: 1,
      },
    });
    await beginTerm(0);
    await log.propose({
      kind: 'setPrimary',
      database: DATABASE,
      term: 1,
      primary: 'm1',
      holder: 'entry-1',
      at: 0,
    });
  }

  async function beginTerm(expectedTerm: number): Promise<void> {
    await log.propose({
      kind: 'beginTerm',
      database: DATABASE,
      expectedTerm,
      term: expectedTerm + 1,
      reason: 'test',
      at: 0,
    });
  }

  async function renew(holder: string, term: number): Promise<number> {
    const handler = network.handlers.get(RENEW_LEASES.name);
    const groups = [{database: DATABASE, term}];
    const answer = (await handler?.({holder, groups} as never)) as Either<
      string,
      {granted: readonly unknown[]}
    >;
    return answer.map(({granted}) => granted.length).orDefault(-1);
  }

  it('grants to the holder of the term alone', async () => {
    expect(await renew('entry-1', 1)).to.equal(1);
    expect(await renew('entry-2', 1)).to.equal(0);
    expect(await renew('entry-1', 2)).to.equal(0);
  });

  it('grants nothing once the next term was opened', async () => {
    await beginTerm(1);
    expect(await renew('entry-1', 1)).to.equal(0);
  });

  it('believes a lease over only after its whole length', async () => {
    timer.advance(50_000);
    await renew('entry-1', 1);
    timer.advance(LEASE_MILLISECONDS);
    expect(grantor.leaseLeftMilliseconds(DATABASE)).to.be.above(0);
    timer.advance(LEASE_MILLISECONDS / 10);
    expect(grantor.leaseLeftMilliseconds(DATABASE)).to.equal(0);
  });

  it('waits out what a leader before it may have granted', () => {
    expect(grantor.leaseLeftMilliseconds(DATABASE)).to.be.above(
      LEASE_MILLISECONDS,
    );
  });

  it('does not hold the silence before its term against a holder', async () => {
    timer.advance(50_000);
    expect(grantor.silentMilliseconds({database: DATABASE, term: 1})).equal(0);
    timer.advance(300);
    expect(grantor.silentMilliseconds({database: DATABASE, term: 1})).equal(
      300,
    );
    expect(grantor.silentMilliseconds({database: DATABASE, term: 2})).equal(0);
  });
});
