import {expect} from 'chai';
import {Either, Left, Right} from 'purify-ts';
import {Observable} from '@apricotlock/flow';
import {PeerCall, PeerError, PeerNetwork} from '@apricotlock/peer';
import {ManualTimerService} from '@apricotlock/timer';
import {Address, EMPTY_VIEW, VirtualMachine} from '@apricotlock/topology';
import {WorkService} from '@apricotlock/work';
import {PrimaryPositionTracker} from '../src/index.js';
import {packSamples, unpackSamples} from '../src/position_samples.js';

const GROUPS = 6;
/** As many VMs as in a deployment, so that groups are sampled in turn. */
const MACHINES = 100;
const TICK_MILLISECONDS = 50;

type Handler = (request: unknown) => Promise<Either<string, unknown>>;

/** VMs of which the first ones each hold the lease of one group. */
class Cluster {
  readonly timer = ManualTimerService.create();
  readonly calls: string[] = [];
  /** The number of the newest record of every primary. */
  number = 1;
  /** How long each request takes to reach the VM that answers it. */
  delayMilliseconds = 0;
  /** VMs whose answers contain no sample, not even of their own group. */
  readonly withoutSamples = new Set<number>();
  /** VMs that run a version which passes on no samples. */
  readonly old = new Set<number>();
  private readonly handlers = new Map<string, Handler>();
  private readonly machines = Array.from({length: MACHINES}, (_, vm) =>
    machineOf(vm),
  );

  start(
    vm: number,
    term = 1,
    seeksContact: () => boolean = () => false,
  ): PrimaryPositionTracker {
    const groups = Array.from({length: GROUPS}, (_, group) => ({
      database: `group-${group}`,
      size: 3,
      term,
      primary: 'primary',
      holder: `vm-${group}`,
      members: [],
    }));
    const currentPosition = (database: string) =>
      database === `group-${vm}` ? {term: 1, number: this.number} : undefined;
    this.handlers.set(`${vm} work.currentPosition`, async () =>
      Right(currentPosition(`group-${vm}`)),
    );
    return PrimaryPositionTracker.start({
      self: `vm-${vm}`,
      view: Observable.of({...EMPTY_VIEW, groups}),
      machines: Observable.of<readonly VirtualMachine[]>(this.machines),
      network: this.networkOf(vm),
      work: {currentPosition} as unknown as WorkService,
      timer: this.timer,
      seeksContact,
    });
  }

  /** Reads all groups on a VM as often as callers do, for some time. */
  async read(
    trackers: readonly PrimaryPositionTracker[],
    milliseconds: number,
  ): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += TICK_MILLISECONDS) {
      for (const tracker of trackers) {
        for (let group = 0; group < GROUPS; group++) {
          const moment = this.timer.now() - 1_500;
          void tracker.waitForCoveringSample(`group-${group}`, moment, 100);
        }
      }
      await this.timer.advanceAsync(TICK_MILLISECONDS);
    }
  }

  private networkOf(vm: number): PeerNetwork {
    return {
      handle: (call: PeerCall<unknown, unknown>, handler: Handler) => {
        this.handlers.set(`${vm} ${call.name}`, handler);
      },
      call: async (to: Address, call: PeerCall<unknown, unknown>) => {
        this.calls.push(`${vm} ${call.name}`);
        const {delayMilliseconds: delay} = this;
        if (delay > 0) await this.timer.sleep(delay);
        const handler = this.handlers.get(`${to.port} ${call.name}`);
        const isOld = this.old.has(to.port) && call.name.startsWith('dispatch');
        if (handler === undefined || isOld) {
          return Left<PeerError>({kind: 'refused', reason: 'unknown call'});
        }
        const isRelay = call.name.startsWith('dispatch');
        if (isRelay && this.withoutSamples.has(to.port)) {
          return Right({samples: []});
        }
        return handler({});
      },
    } as unknown as PeerNetwork;
  }
}

function machineOf(vm: number): VirtualMachine {
  const address = {host: '127.0.0.1', port: vm};
  return {
    name: `vm-${vm}`,
    incarnation: 1,
    dataCentre: 'here',
    peerAddress: address,
    operatorAddress: address,
    controlVoter: false,
    state: 'serving',
  };
}

describe('PrimaryPositionTracker', () => {
  let cluster: Cluster;
  let holders: readonly PrimaryPositionTracker[];

  beforeEach(() => {
    cluster = new Cluster();
    holders = Array.from({length: GROUPS}, (_, vm) => cluster.start(vm));
  });

  function callsOf(vm: number): readonly string[] {
    return cluster.calls.filter(call => call.startsWith(`${vm} `));
  }

  // Guards against a request for each group in each interval on every VM.
  it('receives the positions of all groups from one lease holder at a time', async () => {
    const reader = cluster.start(50);
    await cluster.read([...holders, reader], 3_000);
    cluster.calls.length = 0;
    await cluster.read([...holders, reader], 3_000);
    expect(callsOf(50).length).to.be.at.most(13);
    const moment = cluster.timer.now() - 800;
    for (let group = 0; group < GROUPS; group++) {
      const database = `group-${group}`;
      const sample = await reader.waitForCoveringSample(database, moment, 0);
      expect(sample?.position, database).to.deep.equal({term: 1, number: 1});
    }
  });

  // Guards against a sample that claims to cover writes which it precedes.
  it('takes a position as no newer than the request that its holder answered', async () => {
    const reader = cluster.start(50);
    await cluster.read([...holders, reader], 2_000);
    const writtenAt = cluster.timer.now();
    cluster.number = 2;
    for (let round = 0; round < 20; round++) {
      await cluster.read([...holders, reader], TICK_MILLISECONDS);
      for (let group = 0; group < GROUPS; group++) {
        const database = `group-${group}`;
        const sample = await reader.waitForCoveringSample(
          database,
          writtenAt,
          0,
        );
        if (sample !== undefined) expect(sample.position.number).to.equal(2);
      }
    }
  });

  // Guards against positions that a failover may have lost.
  it('ignores positions of another term', async () => {
    const reader = cluster.start(50, 2);
    await cluster.read([...holders, reader], 2_000);
    const sampled = await Promise.all(
      Array.from({length: GROUPS}, (_, group) =>
        reader.waitForCoveringSample(`group-${group}`, 0, 0),
      ),
    );
    const relayed = sampled.filter(sample => sample?.term === 1);
    expect(relayed).to.deep.equal([]);
  });

  // Guards against a new process that gets no positions from an old one.
  it('asks lease holders of an earlier version for each group', async () => {
    for (let vm = 0; vm < GROUPS; vm++) cluster.old.add(vm);
    const reader = cluster.start(50);
    await cluster.read([...holders, reader], 3_000);
    const refused = callsOf(50).filter(call => call.includes('dispatch'));
    expect(refused.length).to.equal(GROUPS);
    const moment = cluster.timer.now() - 1_000;
    for (let group = 0; group < GROUPS; group++) {
      const database = `group-${group}`;
      const sample = await reader.waitForCoveringSample(database, moment, 0);
      expect(sample?.position, database).to.deep.equal({term: 1, number: 1});
    }
  });

  // Guards against a primary that counts as silent because its holder has more
  // groups than one answer takes.
  it('asks for a group alone if the answer has no sample of it', async () => {
    for (let vm = 0; vm < GROUPS; vm++) cluster.withoutSamples.add(vm);
    const reader = cluster.start(50);
    let longest = 0;
    for (let round = 0; round < 80; round++) {
      await cluster.read([reader], TICK_MILLISECONDS);
      longest = Math.max(longest, reader.silentMilliseconds('group-0'));
    }
    expect(longest).to.be.at.most(900);
  });

  // Guards against a bound on the lag of a replica that exceeds its lag, since
  // a position counts as reached before it was written.
  it('takes a position as reached no earlier than it was written', async () => {
    cluster.delayMilliseconds = 200;
    const reader = cluster.start(50);
    await cluster.read([...holders, reader], 2_000);
    const writtenAt = new Map([[1, -Infinity]]);
    for (let round = 0; round < 40; round++) {
      cluster.number += 1;
      writtenAt.set(cluster.number, cluster.timer.now());
      await cluster.read([...holders, reader], TICK_MILLISECONDS);
      for (let group = 0; group < GROUPS; group++) {
        const sample = reader.newestSample(`group-${group}`);
        if (sample === undefined) continue;
        const {position, requestedAt, receivedAt = requestedAt} = sample;
        expect(receivedAt).to.be.at.least(
          writtenAt.get(position.number) as number,
        );
      }
    }
  });

  // Guards against a holder whose own groups are crowded out of its answers.
  it('packs the newest samples', () => {
    const samples = Array.from({length: 40}, (_, number) => ({
      database: `group-${number}`,
      term: 1,
      position: {term: 1, number: 1},
      ageMilliseconds: 40 - number,
      receiptAgeMilliseconds: 0,
    }));
    const names = unpackSamples(packSamples(samples)).map(
      ({database}) => database,
    );
    expect(names).to.include('group-39');
    expect(names).not.to.include('group-0');
  });

  // An isolated VM has no callers whose reads would show that it is connected.
  it('asks lease holders without reads while it seeks contact', async () => {
    const cluster = new Cluster();
    cluster.start(0);
    let seeks = false;
    const tracker = cluster.start(50, 1, () => seeks);
    await cluster.timer.advanceAsync(2_000);
    expect(tracker.primaryContactAgeMilliseconds).to.equal(Infinity);
    seeks = true;
    await cluster.timer.advanceAsync(2_000);
    expect(tracker.primaryContactAgeMilliseconds).to.be.below(1_000);
  });
});
