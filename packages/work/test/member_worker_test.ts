import {expect} from 'chai';
import {Logger} from '@apricotlock/logging';
import {createChannelPair, PeerChannel} from '@apricotlock/peer';
import {ConnectError, StatementAnswer} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {
  MemberWorker,
  Symptom,
  WorkServerMessage,
  WorkRequest,
  WorkStatement,
  WorkClientMessage,
} from '../src/index.js';
import {AnswerHandler, complete, FakeMemberConnector} from './fake_member.js';

const TARGET = {database: 'ledger', name: 'm1', host: '127.0.0.1', port: 1};

/** A worker on a fake member, with the symptoms that it reported. */
class Fixture {
  readonly timer = ManualTimerService.create();
  readonly connector: FakeMemberConnector;
  readonly symptoms: Symptom[] = [];
  /** What the observer was told. */
  readonly events: string[] = [];
  mayUse = true;
  readonly worker: MemberWorker;

  constructor(
    handler: AnswerHandler,
    failure?: ConnectError,
    connections = {maximum: 4, warm: 1, byOrganisation: false},
  ) {
    this.connector = new FakeMemberConnector(handler);
    this.connector.failure = failure;
    this.worker = MemberWorker.create({
      target: TARGET,
      slots: 2,
      connections,
      connector: this.connector,
      timer: this.timer,
      logger: Logger.silent(),
      observer: {
        onConnectionEvent: event => this.events.push(event),
        onRefusal: reason => this.events.push(reason),
      },
      mayUse: () => this.mayUse,
      acceptsNewWork: () => true,
      onBegun: () => undefined,
      onSymptom: symptom => this.symptoms.push(symptom),
      onAnswer: () => undefined,
    });
  }

  start(
    request: WorkRequest,
  ): PeerChannel<WorkClientMessage, WorkServerMessage> {
    const pair = createChannelPair<WorkClientMessage, WorkServerMessage>();
    void this.worker.serve(request, pair.server).finally(() => {
      pair.server.end();
    });
    return pair.client;
  }
}

function request(
  statement: Partial<WorkStatement> = {},
  organisation?: string,
): WorkRequest {
  return {
    organisation,
    database: 'ledger',
    member: 'm1',
    primaryTerm: 1,
    priority: 1,
    waitMilliseconds: 100,
    objectiveMilliseconds: 100,
    first: statementOf(statement),
  };
}

function statementOf(parts: Partial<WorkStatement>): WorkStatement {
  return {
    kind: 'run',
    requestId: 'r1',
    text: {kind: 'plain', text: 'WORK'},
    opens: 'none',
    floor: undefined,
    values: [],
    timeoutMilliseconds: 800,
    repeatable: false,
    ...parts,
  };
}

function failedAnswer(kind: 'behind' | 'readOnly'): StatementAnswer {
  const error = {kind, code: kind, text: ''};
  return {...complete(), end: {kind: 'error', error}};
}

describe('MemberWorker', () => {
  it('sends the text and request id of a caller unchanged', async () => {
    const fixture = new Fixture(async () => complete());
    const answer = await fixture.start(request()).receive();
    expect(answer?.kind).to.equal('answer');
    expect(fixture.connector.commands).to.deep.equal([
      {kind: 'caller', requestId: 'r1', text: 'WORK', floor: undefined},
    ]);
  });

  describe('in a transaction', () => {
    it('sends no statement after a failed BEGIN', async () => {
      const fixture = new Fixture(async () => failedAnswer('behind'));
      const opens = 'readOnlyTransaction';
      const answer = await fixture.start(request({opens})).receive();
      expect(answer?.kind).to.equal('answer');
      expect(fixture.connector.commands.map(({kind}) => kind)).to.deep.equal([
        'begin',
      ]);
    });

    it('uses one connection and rolls back when released', async () => {
      const fixture = new Fixture(async command =>
        complete(command.kind === 'rollback' ? 'idle' : 'transaction'),
      );
      const channel = fixture.start(request({opens: 'transaction'}));
      await channel.receive();
      channel.send(statementOf({requestId: 'r2'}));
      await channel.receive();
      channel.send({kind: 'release'});
      await settle();
      const [used] = fixture.connector.connections;
      expect(used?.commands.map(({kind}) => kind)).to.deep.equal([
        'begin',
        'caller',
        'caller',
        'rollback',
      ]);
    });

    it('loses the transaction and closes its connection when the lease is lost', async () => {
      const fixture = new Fixture(async () => complete('transaction'));
      const channel = fixture.start(request({opens: 'transaction'}));
      await channel.receive();
      fixture.mayUse = false;
      channel.send(statementOf({requestId: 'r2'}));
      const lost = await channel.receive();
      expect(lost).to.deep.include({kind: 'lost', mayHaveRun: false});
      expect(fixture.connector.connections[0]?.closed).to.equal(true);
    });
  });

  describe('with idle transactions on all connections', () => {
    const answerInTransaction: AnswerHandler = async ({kind}, {organisation}) =>
      complete(
        organisation === 'waiting' || kind === 'rollback'
          ? 'idle'
          : 'transaction',
      );
    const opens = 'transaction';

    async function occupy(fixture: Fixture) {
      const first = fixture.start(request({opens}, 'idle'));
      await first.receive();
      await fixture.timer.advanceAsync(100);
      const second = fixture.start(request({opens}, 'idle'));
      await second.receive();
      return {first, second};
    }

    // Guards against idle transactions that block the work of all others.
    it('ends the one that has been idle longest for waiting work', async () => {
      const limits = {maximum: 2, warm: 0, byOrganisation: true};
      const fixture = new Fixture(answerInTransaction, undefined, limits);
      const {first, second} = await occupy(fixture);
      const waiting = {...request({}, 'waiting'), waitMilliseconds: 1_000};
      const answer = fixture.start(waiting).receive();
      await fixture.timer.advanceAsync(380);
      const [ended, kept] = fixture.connector.connections;
      expect(ended?.commands.at(-1)?.kind).to.equal('caller');
      await fixture.timer.advanceAsync(30);
      expect((await answer)?.kind).to.equal('answer');
      expect(ended?.commands.at(-1)?.kind).to.equal('rollback');
      expect(kept?.closed).to.equal(false);
      expect(fixture.events).to.deep.equal([
        'opened',
        'opened',
        'transactionEnded',
        'replaced',
        'opened',
      ]);
      first.send(statementOf({requestId: 'r2'}));
      expect(await first.receive()).to.deep.include({
        kind: 'lost',
        mayHaveRun: false,
      });
      second.send(statementOf({requestId: 'r3'}));
      expect((await second.receive())?.kind).to.equal('answer');
    });

    it('ends none if no work waits or there are no organisations', async () => {
      const organised = {maximum: 2, warm: 0, byOrganisation: true};
      const idle = new Fixture(answerInTransaction, undefined, organised);
      await occupy(idle);
      const limits = {...organised, byOrganisation: false};
      const fixture = new Fixture(answerInTransaction, undefined, limits);
      for (let count = 0; count < 2; count++) {
        await fixture.start(request({opens})).receive();
      }
      void fixture.start({...request(), waitMilliseconds: 5_000});
      await idle.timer.advanceAsync(2_000);
      await fixture.timer.advanceAsync(2_000);
      for (const {connector} of [idle, fixture]) {
        const kinds = connector.commands.map(({kind}) => kind);
        expect(kinds).not.to.include('rollback');
      }
    });
  });

  it('runs the work of each organisation on connections of its own', async () => {
    const limits = {maximum: 4, warm: 1, byOrganisation: true};
    const handler = async () => complete();
    const fixture = new Fixture(handler, undefined, limits);
    const organisations = ['a', 'b', undefined, 'a', 'b', undefined];
    for (const organisation of organisations) {
      const channel = fixture.start(request({}, organisation));
      expect((await channel.receive())?.kind).to.equal('answer');
    }
    const used = fixture.connector.connections.map(
      ({organisation, commands}) => [organisation, commands.length] as const,
    );
    expect(used).to.have.deep.members([
      ['a', 2],
      ['b', 2],
      [undefined, 2],
    ]);
  });

  it('refuses work on a primary without a lease', async () => {
    const fixture = new Fixture(async () => complete());
    fixture.mayUse = false;
    const answer = await fixture.start(request()).receive();
    expect(answer?.kind).to.equal('refused');
    expect(fixture.events).to.include('notHolder');
    expect(fixture.connector.commands).to.deep.equal([]);
  });

  it('reports a primary that answers as a replica', async () => {
    const fixture = new Fixture(async () => failedAnswer('readOnly'));
    await fixture.start(request()).receive();
    expect(fixture.symptoms).to.deep.equal(['notPrimary']);
  });

  it('reports that a statement may have run if no answer came', async () => {
    const fixture = new Fixture(async () => 'lost');
    const answer = await fixture.start(request()).receive();
    expect(answer).to.deep.include({kind: 'lost', mayHaveRun: true});
  });

  describe('of an unreachable member', () => {
    it('refuses work at once and reports the symptom', async () => {
      const fixture = new Fixture(async () => complete(), {
        kind: 'refused',
        reason: 'closed',
      });
      const first = await fixture.start(request()).receive();
      expect(first?.kind).to.equal('refused');
      const second = await fixture.start(request()).receive();
      expect(second).to.deep.include({kind: 'refused'});
      expect(fixture.symptoms).to.include('refused');
    });

    for (const organisation of [undefined, 'a']) {
      const whose = organisation ?? 'no organisation';
      it(`runs work of ${whose} again after a background connection succeeds`, async () => {
        const byOrganisation = organisation !== undefined;
        const fixture = new Fixture(
          async () => complete(),
          {kind: 'unreachable', reason: 'silent'},
          {maximum: 4, warm: 1, byOrganisation},
        );
        await fixture.start(request({}, organisation)).receive();
        fixture.connector.failure = undefined;
        await fixture.timer.advanceAsync(400);
        const answer = await fixture.start(request({}, organisation)).receive();
        expect(answer?.kind).to.equal('answer');
      });
    }
  });

  describe('with a connection that does not answer', () => {
    const silentOnFirstConnection: AnswerHandler = (command, connection) =>
      command.kind === 'caller' && connection.commands.length === 1
        ? new Promise(() => undefined)
        : Promise.resolve(complete());

    it('aborts a repeatable read', async () => {
      const fixture = new Fixture(silentOnFirstConnection);
      const channel = fixture.start(request({repeatable: true}));
      await settle();
      await fixture.timer.advanceAsync(400);
      expect(await channel.receive()).to.deep.include({kind: 'lost'});
    });

    it('keeps waiting for a write and reports a commit stall', async () => {
      const fixture = new Fixture(silentOnFirstConnection);
      void fixture.start(request());
      await settle();
      await fixture.timer.advanceAsync(400);
      expect(fixture.symptoms).to.deep.equal(['commitsStall']);
      expect(fixture.connector.connections[0]?.closed).to.equal(false);
    });
  });

  // Otherwise reads that only this primary can serve are refused until the
  // commits time out.
  describe('while no replica confirms commits', () => {
    it('runs reads beside the first write, and writes after it', async () => {
      const fixture = new Fixture(command =>
        command.kind === 'caller' && command.requestId.startsWith('w')
          ? new Promise(() => undefined)
          : Promise.resolve(complete()),
      );
      const writes = ['w1', 'w2', 'w3'].map(requestId =>
        fixture.start(request({requestId})),
      );
      await settle();
      const read = fixture.start(request({requestId: 'r', repeatable: true}));
      expect(await read.receive()).to.deep.include({kind: 'answer'});
      await fixture.timer.advanceAsync(150);
      for (const write of writes.slice(1)) {
        // Not as overloaded: callers would take that for all statements.
        expect(await write.receive()).to.deep.nested.include({
          kind: 'refused',
          'refusal.reason': 'commitsStall',
        });
      }
    });

    it('runs writes side by side once one was confirmed', async () => {
      const fixture = new Fixture(async command => {
        if (command.kind !== 'caller') return complete();
        return command.requestId === 'w1'
          ? complete()
          : new Promise(() => undefined);
      });
      expect(
        await fixture.start(request({requestId: 'w1'})).receive(),
      ).to.deep.include({kind: 'answer'});
      fixture.start(request({requestId: 'w2'}));
      fixture.start(request({requestId: 'w3'}));
      await settle();
      const sent = fixture.connector.commands.filter(
        ({kind}) => kind === 'caller',
      );
      expect(sent.length).to.equal(3);
    });
  });
});

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  await new Promise(resolve => setImmediate(resolve));
}
