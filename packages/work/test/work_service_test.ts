import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {Deferred, Observable} from '@apricotlock/flow';
import {Logger} from '@apricotlock/logging';
import {
  createChannelPair,
  PeerChannel,
  SilentPeerNetwork,
} from '@apricotlock/peer';
import {StatementAnswer} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {
  ClusterView,
  EMPTY_VIEW,
  Member,
  VirtualMachine,
} from '@apricotlock/topology';
import {
  ControlLeaderClient,
  MemberRole,
  WorkClientMessage,
  WorkRequest,
  WorkServerMessage,
  WorkService,
  WorkStatement,
} from '../src/index.js';
import {complete, FakeMemberConnector} from './fake_member.js';

/** Turns of the event loop after which no task of a test is still running. */
const SETTLE_TURNS = 5;
const ADDRESS = {host: '127.0.0.1', port: 1};
const READ: WorkStatement = {
  kind: 'run',
  requestId: 'r1',
  text: {kind: 'plain', text: 'READ'},
  opens: 'none',
  floor: undefined,
  values: [],
  timeoutMilliseconds: 800,
  repeatable: true,
};
const READ_REQUEST: WorkRequest = {
  database: 'ledger',
  member: 'm1',
  primaryTerm: 0,
  priority: 1,
  waitMilliseconds: 500,
  objectiveMilliseconds: 500,
  first: READ,
};

function viewWith(state: Member['state'], index: number): ClusterView {
  const member: Member = {
    name: 'm1',
    database: 'ledger',
    dataCentre: 'here',
    address: ADDRESS,
    apiAddress: ADDRESS,
    incarnation: 1,
    state,
    capacity: {connections: 4, slots: 1},
  };
  const group = {
    database: 'ledger',
    size: 3,
    term: 1,
    primary: undefined,
    members: [member],
  };
  return {...EMPTY_VIEW, index, groups: [group]};
}

/** A work service on one replica, whose answers the test holds back. */
class Fixture {
  readonly timer = ManualTimerService.create();
  readonly view = Observable.of(viewWith('active', 1));
  readonly drainingWork: MemberRole[] = [];
  readonly answers: Array<Deferred<StatementAnswer>> = [];
  readonly connector = new FakeMemberConnector(async command => {
    if (command.kind !== 'caller') return complete('transaction');
    const answer = Deferred.create<StatementAnswer>();
    this.answers.push(answer);
    return answer.promise;
  });
  readonly service: WorkService;

  constructor() {
    const network = new SilentPeerNetwork();
    const machines = Observable.of<readonly VirtualMachine[]>([]);
    this.service = WorkService.start({
      self: 'entry-1',
      view: this.view,
      machines,
      network,
      connector: this.connector,
      leader: ControlLeaderClient.create({network, machines}),
      timer: this.timer,
      logger: Logger.silent(),
      observer: {
        onConnectionEvent: () => undefined,
        onRefusal: () => undefined,
      },
      onDrainingWork: role => this.drainingWork.push(role),
    });
  }

  start(
    request: WorkRequest,
  ): PeerChannel<WorkClientMessage, WorkServerMessage> {
    const pair = createChannelPair<WorkClientMessage, WorkServerMessage>();
    void this.service
      .serve(request, pair.server)
      .finally(() => pair.server.end());
    return pair.client;
  }

  /** Lets tasks run, and the answers of members arrive. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) await setImmediate();
  }
}

function refusalIn(message: WorkServerMessage | undefined): string | undefined {
  return message?.kind === 'refused' ? message.refusal.reason : undefined;
}

describe('WorkService', () => {
  describe('on a replica that is draining', () => {
    // Guards against inc-0020: the VM that works on a member did not ask
    // whether the member is leaving.
    it('refuses work of a VM that does not know it yet', async () => {
      const fixture = new Fixture();
      fixture.view.set(viewWith('draining', 2));
      const channel = fixture.start(READ_REQUEST);
      await fixture.settle();
      expect(fixture.answers).to.have.length(0);
      expect(fixture.drainingWork).to.deep.equal([]);
      expect(refusalIn(await channel.receive())).to.equal('draining');
    });

    it('refuses work that was queued before it was', async () => {
      const fixture = new Fixture();
      fixture.start(READ_REQUEST);
      await fixture.settle();
      const queued = fixture.start(READ_REQUEST);
      await fixture.settle();
      fixture.view.set(viewWith('draining', 2));
      fixture.answers[0]?.resolve(complete());
      await fixture.settle();
      expect(refusalIn(await queued.receive())).to.equal('draining');
      expect(fixture.answers).to.have.length(1);
    });

    it('continues a transaction that was open before it was', async () => {
      const fixture = new Fixture();
      const opens = 'readOnlyTransaction' as const;
      const channel = fixture.start({...READ_REQUEST, first: {...READ, opens}});
      await fixture.settle();
      fixture.answers[0]?.resolve(complete('transaction'));
      await channel.receive();
      fixture.view.set(viewWith('draining', 2));
      channel.send({...READ, requestId: 'r2'});
      await fixture.settle();
      fixture.answers[1]?.resolve(complete('transaction'));
      expect((await channel.receive())?.kind).to.equal('answer');
    });
  });

  // Guards against work that begins after a VM that stops has looked whether
  // any is in progress, and is cut by the end of the process.
  describe('of a VM that stops', () => {
    it('refuses new work, which other VMs can do', async () => {
      const fixture = new Fixture();
      fixture.service.refuseNewWork();
      const channel = fixture.start(READ_REQUEST);
      await fixture.settle();
      expect(fixture.answers).to.have.length(0);
      expect(refusalIn(await channel.receive())).to.equal('stopping');
    });

    it('refuses work that could outlast it, and does the other', async () => {
      const fixture = new Fixture();
      const now = fixture.timer.now();
      fixture.service.limitNewWork(now + READ.timeoutMilliseconds);
      fixture.start(READ_REQUEST);
      await fixture.settle();
      expect(fixture.answers).to.have.length(1);
      await fixture.timer.advanceAsync(1);
      const late = fixture.start(READ_REQUEST);
      expect(refusalIn(await late.receive())).to.equal('stopping');
    });

    it('continues the work in progress', async () => {
      const fixture = new Fixture();
      const opens = 'readOnlyTransaction' as const;
      const channel = fixture.start({...READ_REQUEST, first: {...READ, opens}});
      await fixture.settle();
      fixture.service.refuseNewWork();
      fixture.answers[0]?.resolve(complete('transaction'));
      expect((await channel.receive())?.kind).to.equal('answer');
      channel.send({...READ, requestId: 'r2'});
      await fixture.settle();
      fixture.answers[1]?.resolve(complete());
      expect((await channel.receive())?.kind).to.equal('answer');
    });

    it('tells those who wait at the end that their work is lost', async () => {
      const fixture = new Fixture();
      const channel = fixture.start(READ_REQUEST);
      await fixture.settle();
      fixture.service.stop();
      await fixture.settle();
      expect((await channel.receive())?.kind).to.equal('lost');
    });
  });
});
