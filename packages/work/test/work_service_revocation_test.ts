import {setImmediate} from 'node:timers/promises';
import {Either, Left, Right} from 'purify-ts';
import {expect} from 'chai';
import {Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {
  createChannelPair,
  PeerCall,
  PeerChannel,
  PeerError,
  SilentPeerNetwork,
} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {
  ClusterView,
  EMPTY_VIEW,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';
import {
  ControlLeaderClient,
  COUNT_TRANSACTIONS,
  RENEW_LEASES,
  REVOKE_LEASE,
  WorkClientMessage,
  WorkRequest,
  WorkServerMessage,
  WorkService,
  WorkStatement,
} from '../src/index.js';
import {complete, FakeMemberConnector} from './fake_member.js';

/** Turns of the event loop after which no task of a test is still running. */
const SETTLE_TURNS = 10;
const SELF = 'entry-1';
const DATABASE = 'ledger';
const GRACE_MILLISECONDS = 250;
const LEASE_MILLISECONDS = 1_500;
const ADDRESS = {host: '127.0.0.1', port: 1};
const MEMBER: Member = {
  name: 'm1',
  database: DATABASE,
  dataCentre: 'here',
  address: ADDRESS,
  apiAddress: ADDRESS,
  incarnation: 1,
  state: 'active',
  capacity: {connections: 4, slots: 2},
};
const CONTROL_LEADER: VirtualMachine = {
  name: 'control-1',
  incarnation: 1,
  dataCentre: 'here',
  peerAddress: ADDRESS,
  operatorAddress: ADDRESS,
  controlVoter: true,
  state: 'serving',
};
const WRITE: WorkStatement = {
  kind: 'run',
  requestId: 'r1',
  text: {kind: 'plain', text: 'WRITE'},
  opens: 'transaction',
  floor: undefined,
  values: [],
  timeoutMilliseconds: 800,
  repeatable: false,
};
const COMMIT: WorkStatement = {
  ...WRITE,
  requestId: 'r2',
  text: {kind: 'plain', text: 'COMMIT'},
  opens: 'none',
};

const WRITE_REQUEST: WorkRequest = {
  database: DATABASE,
  member: MEMBER.name,
  primaryTerm: 1,
  priority: 1,
  waitMilliseconds: 500,
  objectiveMilliseconds: 500,
  first: WRITE,
};

function viewWith(term: number, primary: string | undefined): ClusterView {
  const group = {database: DATABASE, size: 1, term, members: [MEMBER]};
  const groups = [{...group, primary, holder: SELF}];
  return {...EMPTY_VIEW, index: term, groups};
}

/** Grants each lease that is requested, and passes revocations on. */
class LeaseNetwork extends SilentPeerNetwork {
  private readonly handlers = new Map<
    string,
    (request: never) => Promise<unknown>
  >();

  override async call<Request, Answer>(
    _to: unknown,
    call: PeerCall<Request, Answer>,
    request: Request,
  ): Promise<Either<PeerError, Answer>> {
    if (call.name !== RENEW_LEASES.name) {
      return Left({kind: 'noAnswer', reason: 'silent'});
    }
    const {groups: granted} = request as {groups: unknown};
    const leaseMilliseconds = LEASE_MILLISECONDS;
    return Right({granted, leaseMilliseconds} as Answer);
  }

  override handle<Request, Answer>(
    call: PeerCall<Request, Answer>,
    handler: (request: Request) => Promise<Either<string, Answer>>,
  ): void {
    this.handlers.set(call.name, handler);
  }

  async countTransactions(term: number): Promise<number | undefined> {
    const answer = (await this.handlers.get(COUNT_TRANSACTIONS.name)?.({
      database: DATABASE,
      term,
    } as never)) as Either<string, {readonly open: number}>;
    return answer
      .map(({open}) => open)
      .toMaybe()
      .extract();
  }

  async revokeBefore(term: number): Promise<void> {
    const graceMilliseconds = GRACE_MILLISECONDS;
    const request = {database: DATABASE, term, graceMilliseconds};
    await this.handlers.get(REVOKE_LEASE.name)?.(request as never);
  }
}

/** A lease holder of term 1 whose transaction has run one write. */
class Fixture {
  readonly timer = ManualTimerService.create();
  readonly view = Observable.of(viewWith(1, MEMBER.name));
  readonly network = new LeaseNetwork();
  /** Whether the member answers the next statements. */
  answers = true;
  readonly connector = new FakeMemberConnector(async command => {
    if (command.kind !== 'caller') return complete('transaction');
    if (!this.answers) return new Promise(() => undefined);
    return complete(command.requestId === 'r1' ? 'transaction' : 'idle');
  });
  readonly service: WorkService;
  readonly channel: PeerChannel<WorkClientMessage, WorkServerMessage>;
  isRevoked = false;

  private constructor() {
    const {network, timer} = this;
    const machines = Observable.of([CONTROL_LEADER]);
    this.service = WorkService.start({
      self: SELF,
      view: this.view,
      machines: Observable.of<readonly VirtualMachine[]>([]),
      network,
      connector: this.connector,
      leader: ControlLeaderClient.create({network, machines}),
      timer,
      logger: Logger.silent(),
      observer: {
        onConnectionEvent: () => undefined,
        onRefusal: () => undefined,
      },
      onDrainingWork: () => undefined,
    });
    const pair = createChannelPair<WorkClientMessage, WorkServerMessage>();
    this.channel = pair.client;
    void timer
      .advanceAsync(200)
      .then(() =>
        this.service
          .serve(WRITE_REQUEST, pair.server)
          .finally(() => pair.server.end()),
      );
  }

  /** Starts a read that any VM may send to the member. */
  startRead(): void {
    const {server} = createChannelPair<WorkClientMessage, WorkServerMessage>();
    const first = {...COMMIT, requestId: 'r3'};
    void this.service.serve({...WRITE_REQUEST, primaryTerm: 0, first}, server);
  }

  static async start(): Promise<Fixture> {
    const fixture = new Fixture();
    expect((await fixture.channel.receive())?.kind).to.equal('answer');
    return fixture;
  }

  /** Begins the next term, as control does, and revokes the lease. */
  async beginHandover(): Promise<void> {
    this.view.set(viewWith(2, undefined));
    void this.network.revokeBefore(2).then(() => {
      this.isRevoked = true;
    });
    await this.settle();
  }

  async advance(milliseconds: number): Promise<void> {
    await this.timer.advanceAsync(milliseconds);
    await this.settle();
  }

  /** Lets tasks run, and the answers of members arrive. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) await setImmediate();
  }

  get usedConnection(): {readonly closed: boolean} | undefined {
    return this.connector.connections.find(({commands}) => commands.length > 0);
  }
}

// Guards against revocations that look for the primary in the view, which has
// none once the next term has begun.
describe('WorkService, when its lease is revoked by the next term,', () => {
  it('waits for an open transaction within the grace', async () => {
    const fixture = await Fixture.start();
    await fixture.beginHandover();
    await fixture.advance(GRACE_MILLISECONDS / 2);
    expect(fixture.isRevoked).to.equal(false);
    fixture.channel.send(COMMIT);
    expect((await fixture.channel.receive())?.kind).to.equal('answer');
    await fixture.advance(10);
    expect(fixture.isRevoked).to.equal(true);
  });

  it('waits for a running statement, and closes its connection at the end', async () => {
    const fixture = await Fixture.start();
    fixture.answers = false;
    fixture.channel.send(COMMIT);
    await fixture.settle();
    await fixture.beginHandover();
    await fixture.advance(GRACE_MILLISECONDS - 10);
    expect(fixture.isRevoked).to.equal(false);
    expect(fixture.usedConnection?.closed).to.equal(false);
    await fixture.advance(20);
    expect(fixture.isRevoked).to.equal(true);
    expect(fixture.usedConnection?.closed).to.equal(true);
    expect((await fixture.channel.receive())?.kind).to.equal('lost');
  });

  it('waits for no read that needs no lease, and does not cut it', async () => {
    const fixture = await Fixture.start();
    fixture.channel.send(COMMIT);
    expect((await fixture.channel.receive())?.kind).to.equal('answer');
    fixture.answers = false;
    fixture.startRead();
    await fixture.settle();
    await fixture.beginHandover();
    await fixture.advance(10);
    expect(fixture.isRevoked).to.equal(true);
    expect(fixture.usedConnection?.closed).to.equal(false);
  });

  it('ends the work of the former term, and keeps the lease of the same primary', async () => {
    const fixture = await Fixture.start();
    await fixture.beginHandover();
    fixture.view.set(viewWith(2, MEMBER.name));
    await fixture.advance(GRACE_MILLISECONDS);
    expect(fixture.isRevoked).to.equal(true);
    expect(fixture.usedConnection?.closed).to.equal(true);
    expect(fixture.service.currentPosition(DATABASE, 2)).to.not.equal(
      undefined,
    );
  });
});

// Guards against a handover while control does not know of a transaction.
describe('WorkService, as the holder of a lease,', () => {
  it('counts the open transactions of its term', async () => {
    const {network, channel, settle} = await Fixture.start();
    expect(await network.countTransactions(1)).to.equal(1);
    expect(await network.countTransactions(2)).to.equal(0);
    channel.send(COMMIT);
    await channel.receive();
    await settle();
    expect(await network.countTransactions(1)).to.equal(0);
  });

  it('holds it until it is revoked', async () => {
    const fixture = await Fixture.start();
    expect(fixture.service.holdsLease).to.equal(true);
    await fixture.beginHandover();
    expect(fixture.service.holdsLease).to.equal(true);
    await fixture.advance(GRACE_MILLISECONDS);
    expect(fixture.service.holdsLease).to.equal(false);
  });
});
