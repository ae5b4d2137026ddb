import {expect} from 'chai';
import {Deferred} from '@apricotlock/flow';
import {ConnectError, MemberConnection} from '@apricotlock/statement';
import {ManualTimerService} from '@apricotlock/timer';
import {Either} from 'purify-ts';
import {ConnectionLimits} from '../src/connection_limits.js';
import {ConnectionPool} from '../src/connection_pool.js';
import {WorkConnection} from '../src/work_connection.js';
import {complete, FakeMemberConnector} from './fake_member.js';

const MEAN_MILLISECONDS = 12;

/** A connector that opens a connection when the test says so. */
class HeldConnector extends FakeMemberConnector {
  private held: Array<Deferred<void>> = [];

  override async connect(
    ...parameters: Parameters<FakeMemberConnector['connect']>
  ): Promise<Either<ConnectError, MemberConnection>> {
    const opened = Deferred.create<void>();
    this.held.push(opened);
    await opened.promise;
    return super.connect(...parameters);
  }

  get openingCount(): number {
    return this.held.length;
  }

  async open(): Promise<void> {
    const {held} = this;
    this.held = [];
    for (const each of held) each.resolve();
    await new Promise(resolve => setImmediate(resolve));
  }
}

class Fixture {
  readonly timer = ManualTimerService.create();
  /** What the member answers to all commands. */
  answer = complete();
  readonly connector = new HeldConnector(async () => this.answer);
  replaced = 0;
  readonly pool = ConnectionPool.create({
    target: {database: 'ledger', name: 'm1', host: 'h', port: 1},
    connector: this.connector,
    timer: this.timer,
    slots: 3,
    onAvailable: () => undefined,
    onConnectError: () => undefined,
    onOpened: () => undefined,
    onReplaced: () => {
      this.replaced += 1;
    },
    onBlocked: () => undefined,
  });

  constructor(limits: Partial<ConnectionLimits>) {
    this.pool.setLimits({
      maximum: 3,
      warm: 2,
      byOrganisation: false,
      ...limits,
    });
  }

  request(organisation: string | undefined, waiting: number): void {
    const demands = [{organisation, waiting, since: this.timer.now()}];
    this.pool.requestConnections(demands, MEAN_MILLISECONDS);
  }

  /** Opens a connection for an organisation and returns it to the pool. */
  async use(organisation: string): Promise<WorkConnection> {
    this.request(organisation, 1);
    await this.connector.open();
    const connection = this.pool.checkOut(organisation) as WorkConnection;
    this.pool.requestConnections([], MEAN_MILLISECONDS);
    await this.timer.advanceAsync(1);
    this.pool.checkIn(connection);
    return connection;
  }
}

describe('ConnectionPool', () => {
  describe('without organisations', () => {
    // Guards against a backlog that opens every connection that the member
    // accepts, each of which takes a slot, although slots are what it waits for.
    it('opens no more than statements can be under way', async () => {
      const fixture = new Fixture({maximum: 18, warm: 3});
      fixture.request(undefined, 40);
      while (fixture.connector.openingCount > 0) await fixture.connector.open();
      expect(fixture.pool.count).to.equal(6);
    });

    // Guards against a member that resets connections because the former and the
    // present lease holder keep theirs.
    it('closes idle ones beyond a lower maximum at once', async () => {
      const fixture = new Fixture({maximum: 18, warm: 6});
      while (fixture.connector.openingCount > 0) await fixture.connector.open();
      const used = fixture.pool.checkOut(undefined) as WorkConnection;
      const limits = {maximum: 1, warm: 0, byOrganisation: false};
      fixture.pool.setLimits(limits);
      expect(fixture.pool.count).to.equal(1);
      expect(used.member.usable).to.equal(true);
      fixture.pool.checkIn(used);
      expect(fixture.pool.count).to.equal(1);
    });

    it('opens warm connections ahead of work, two at a time', async () => {
      const fixture = new Fixture({maximum: 5, warm: 3});
      expect(fixture.connector.openingCount).to.equal(2);
      await fixture.connector.open();
      expect(fixture.connector.openingCount).to.equal(1);
      await fixture.connector.open();
      expect(fixture.pool.count).to.equal(3);
    });

    it('opens a connection for each waiting statement up to its maximum', async () => {
      const fixture = new Fixture({warm: 0});
      fixture.request(undefined, 9);
      expect(fixture.connector.openingCount).to.equal(2);
      await fixture.connector.open();
      await fixture.connector.open();
      expect(fixture.pool.count).to.equal(3);
    });

    it('keeps warm connections when others are closed as unused', async () => {
      const fixture = new Fixture({});
      fixture.request(undefined, 3);
      await fixture.connector.open();
      await fixture.connector.open();
      fixture.request(undefined, 0);
      await fixture.timer.advanceAsync(22_000);
      expect(fixture.pool.count).to.equal(2);
    });
  });

  // The next session would find the values of an earlier one, which the pool
  // takes for reset.
  it('closes an idle connection whose reset the member refuses', async () => {
    const fixture = new Fixture({byOrganisation: true});
    const kept = await fixture.use('a');
    await fixture.pool.checkIdle();
    expect(kept.member.usable).to.equal(true);
    const error = {kind: 'other', code: 'INTERNAL', text: ''} as const;
    fixture.answer = {...complete(), end: {kind: 'error', error}};
    await fixture.pool.checkIdle();
    expect(kept.member.usable).to.equal(false);
    expect(fixture.pool.count).to.equal(0);
  });

  describe('with organisations', () => {
    it('opens no connection ahead of work', () => {
      const fixture = new Fixture({byOrganisation: true});
      expect(fixture.connector.openingCount).to.equal(0);
    });

    it('checks out no connection of another organisation or of none', async () => {
      const fixture = new Fixture({byOrganisation: true});
      const {member} = await fixture.use('a');
      expect(fixture.pool.checkOut('b')).to.equal(undefined);
      expect(fixture.pool.checkOut(undefined)).to.equal(undefined);
      expect(fixture.pool.checkOut('a')?.member).to.equal(member);
    });

    // A view without organisations may be older than the request.
    it('uses no connection of none before the view has organisations', async () => {
      const fixture = new Fixture({});
      await fixture.connector.open();
      fixture.request('a', 1);
      expect(fixture.pool.checkOut('a')).to.equal(undefined);
      await fixture.connector.open();
      expect(fixture.pool.checkOut('a')?.organisation).to.equal('a');
    });

    it('replaces the least recently used connection of a full pool', async () => {
      const fixture = new Fixture({byOrganisation: true});
      const connections: WorkConnection[] = [];
      for (const name of ['a', 'b', 'c']) {
        connections.push(await fixture.use(name));
      }
      const busy = fixture.pool.checkOut('a');
      await fixture.use('d');
      expect(busy?.member.usable).to.equal(true);
      expect(connections.map(({member}) => member.usable)).to.deep.equal([
        true,
        false,
        true,
      ]);
      expect(fixture.replaced).to.equal(1);
      expect(fixture.pool.count).to.equal(3);
    });

    // Other VMs have the rest of the connections that the member accepts.
    it('exchanges an idle connection at a member that accepts no more', async () => {
      const fixture = new Fixture({byOrganisation: true, maximum: 9});
      const {connector, pool, timer} = fixture;
      const first = await fixture.use('a');
      const second = await fixture.use('b');
      connector.failure = {kind: 'tooManyConnections', reason: 'full'};
      fixture.request('c', 1);
      await connector.open();
      connector.failure = undefined;
      await timer.advanceAsync(600);
      expect([first.member.usable, second.member.usable]).to.deep.equal([
        false,
        true,
      ]);
      await connector.open();
      expect(pool.checkOut('c')?.organisation).to.equal('c');
      expect([pool.count, fixture.replaced]).to.deep.equal([2, 1]);
    });

    it('opens another connection if its own one is not returned in time', async () => {
      const fixture = new Fixture({byOrganisation: true});
      await fixture.use('a');
      fixture.pool.checkOut('a');
      fixture.request('a', 1);
      expect(fixture.connector.openingCount).to.equal(0);
      await fixture.timer.advanceAsync(MEAN_MILLISECONDS);
      expect(fixture.connector.openingCount).to.equal(1);
    });
  });
});
