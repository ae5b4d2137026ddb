import {expect} from 'chai';
import {Either} from 'purify-ts';
import {GrantRequest} from '../src/index.js';
import {QuotaDecision} from '../src/operation_quota.js';
import {largestWindow, QuotaCluster, QuotaVm} from './quota_cluster.js';

const QUOTA = {operationsPerSecond: 20, burst: 10};

/** Returns a cluster whose bucket is full, and a VM that must send messages. */
async function startCluster(quota = QUOTA): Promise<[QuotaCluster, QuotaVm]> {
  const cluster = new QuotaCluster(4, quota);
  await cluster.advance(5_000);
  const vm = cluster.vms.find(other => other !== cluster.coordinator);
  return [cluster, vm as QuotaVm];
}

/** Acquires once, and returns the decision and the time that it took. */
async function acquire(
  cluster: QuotaCluster,
  vm: QuotaVm,
): Promise<{decision: QuotaDecision | undefined; milliseconds: number}> {
  const startedAt = cluster.timer.now();
  let decision: QuotaDecision | undefined;
  void vm.client.acquire(cluster.organisation).then(decided => {
    decision = decided;
  });
  await Promise.resolve();
  while (decision === undefined && cluster.timer.now() < startedAt + 1_000) {
    await cluster.advance(1);
  }
  return {decision, milliseconds: cluster.timer.now() - startedAt};
}

describe('a quota client', () => {
  it('grants any number of operations without a quota, and no message', async () => {
    const [cluster, vm] = await startCluster();
    cluster.setQuota(undefined);
    for (let count = 0; count < 100; count++) {
      const {decision, milliseconds} = await acquire(cluster, vm);
      expect([decision?.kind, milliseconds]).to.deep.equal(['granted', 0]);
    }
    expect(vm.client.counts.messages).to.equal(0);
  });

  it('does not let steady operations wait, because it prefetches', async () => {
    const [cluster, vm] = await startCluster();
    let waited = 0;
    for (let count = 0; count < 100; count++) {
      const {decision, milliseconds} = await acquire(cluster, vm);
      expect(decision?.kind).to.equal('granted');
      if (milliseconds > 0) waited++;
      await cluster.advance(60 - milliseconds);
    }
    // The demand is unknown at first, and random phases may expire a grant.
    expect(waited).to.be.at.most(10);
    expect(vm.client.counts.messages).to.be.at.most(100);
  });

  it('sends the requests of one turn to one coordinator in one message', async () => {
    const [cluster, vm] = await startCluster();
    for (let count = 0; count < 5; count++) {
      void vm.client.acquire(cluster.organisation);
    }
    await cluster.advance(20);
    expect(vm.client.counts).to.include({messages: 1, granted: 5});
  });

  it('refuses at once when the bucket is empty, with later and later times', async () => {
    const [cluster, vm] = await startCluster();
    const first = Array.from({length: 40}, () =>
      vm.client.acquire(cluster.organisation),
    );
    await cluster.advance(20);
    await Promise.all(first);
    const times: number[] = [];
    for (let count = 0; count < 3; count++) {
      const {decision, milliseconds} = await acquire(cluster, vm);
      expect(milliseconds).to.equal(0);
      if (decision?.kind !== 'refused') throw new Error('granted');
      times.push(decision.retryAfterMilliseconds);
    }
    // One operation is yielded every 50 ms.
    expect(times[1]! - times[0]!).to.be.within(49, 51);
    expect(times[2]! - times[1]!).to.be.within(49, 51);
  });

  it('states times after which the bucket has room for the caller', async () => {
    const [cluster, vm] = await startCluster();
    const decisions = Array.from({length: 40}, async () => {
      const decision = await vm.client.acquire(cluster.organisation);
      if (decision.kind === 'granted') return 'granted at first';
      await cluster.timer.sleep(decision.retryAfterMilliseconds);
      return (await vm.client.acquire(cluster.organisation)).kind;
    });
    await cluster.advance(5_000);
    const refused = (await Promise.all(decisions)).filter(
      outcome => outcome === 'refused',
    );
    expect(refused.length).to.be.at.most(2);
  });

  it('states such times to callers of several VMs in an overload', async () => {
    const [cluster] = await startCluster();
    for (const vm of cluster.vms) await acquire(cluster, vm);
    const outcomes = Array.from({length: 60}, async (_, index) => {
      const {client} = cluster.vms[index % 4] as QuotaVm;
      const decision = await client.acquire(cluster.organisation);
      if (decision.kind === 'granted') return 'granted at first';
      await cluster.timer.sleep(decision.retryAfterMilliseconds);
      return (await client.acquire(cluster.organisation)).kind;
    });
    await cluster.advance(10_000);
    const refused = (await Promise.all(outcomes)).filter(
      outcome => outcome === 'refused',
    );
    expect(refused.length).to.be.at.most(3);
  });

  it('refuses within 150 ms if nobody answers, and uses the reserve later', async () => {
    const [cluster, vm] = await startCluster();
    cluster.coordinator.timer.freeze();
    const first = await acquire(cluster, vm);
    expect(first.decision?.kind).to.equal('refused');
    expect(first.milliseconds).to.be.within(149, 151);
    const before = vm.client.counts.granted;
    const stop = cluster.offer(vm, 40, () => 0.6);
    await cluster.advance(2_000 - first.milliseconds);
    expect(vm.client.counts.granted).to.equal(before);
    await cluster.advance(4_000);
    stop();
    // A quarter of the rate for 4 s, since there are four VMs.
    expect(vm.client.counts.reserveUsed).to.be.within(18, 20);
  });

  // The takeover of a lost coordinator lasts seconds, in which every operation
  // of an organisation below its limit would be refused.
  it('goes on at its recent rate while nobody answers', async () => {
    const [cluster, vm] = await startCluster();
    let granted = 0;
    let refused = 0;
    const offer = async (milliseconds: number) => {
      for (let passed = 0; passed < milliseconds; passed += 250) {
        void vm.client.acquire(cluster.organisation).then(({kind}) => {
          if (kind === 'granted') granted++;
          else refused++;
        });
        await cluster.advance(250);
      }
    };
    await offer(5_000);
    expect({granted, refused}).to.deep.equal({granted: 20, refused: 0});
    cluster.coordinator.timer.freeze();
    await offer(5_000);
    expect(granted).to.be.within(38, 40);
    expect(vm.client.counts.reserveUsed).to.be.within(17, 20);
  });

  it('goes on only for an organisation that had room', async () => {
    const [cluster, vm] = await startCluster();
    const stop = cluster.offer(vm, 40, () => 0.6);
    await cluster.advance(3_000);
    cluster.coordinator.timer.freeze();
    await cluster.advance(1_900);
    stop();
    expect(vm.client.counts.reserveUsed).to.equal(0);
  });

  it('drops its allowance after a suspension', async () => {
    const [cluster, vm] = await startCluster();
    await acquire(cluster, vm);
    await acquire(cluster, vm);
    vm.client.giveBack(cluster.organisation, cluster.timer.now());
    vm.timer.freeze();
    await cluster.advance(3_000);
    vm.timer.thaw(true);
    const {milliseconds} = await acquire(cluster, vm);
    expect(milliseconds).to.be.above(0);
  });

  it('grants again what was given back, without a message', async () => {
    const [cluster, vm] = await startCluster();
    await acquire(cluster, vm);
    const {messages} = vm.client.counts;
    vm.client.giveBack(cluster.organisation, cluster.timer.now());
    const {decision, milliseconds} = await acquire(cluster, vm);
    expect([decision?.kind, milliseconds]).to.deep.equal(['granted', 0]);
    expect(vm.client.counts.messages).to.equal(messages);
  });

  // Callers try again what was held for 2 s during an outage and not run. What
  // is given back would otherwise grow by the rate with each round, and all
  // that is held runs at once after the outage.
  it('does not collect operations that are given back after an outage', async () => {
    const [cluster, vm] = await startCluster();
    const grantedAt: number[] = [];
    const {client, timer} = vm;
    const stop = timer.every(10, async () => {
      const {kind} = await client.acquire(cluster.organisation);
      if (kind === 'refused') return;
      const at = timer.now();
      grantedAt.push(at);
      timer.once(2_000, () => client.giveBack(cluster.organisation, at));
    });
    await cluster.advance(20_000);
    stop();
    expect(largestWindow(grantedAt)).to.be.at.most(141);
  });

  // An answer without an element would leave the request in flight for good.
  it('asks again after an answer that lacks its organisation', async () => {
    const [cluster, vm] = await startCluster();
    const {coordinator} = cluster.coordinator;
    const grant = coordinator.grant.bind(coordinator);
    coordinator.grant = () => Either.of({answers: []});
    const first = await acquire(cluster, vm);
    expect(first.decision?.kind).to.equal('refused');
    coordinator.grant = grant;
    await cluster.advance(2_000);
    const {decision} = await acquire(cluster, vm);
    expect(decision?.kind).to.equal('granted');
  });

  // Half an operation would be taken as one, and the next one not be found.
  it('ignores an answer that grants a part of an operation', async () => {
    const [cluster, vm] = await startCluster();
    const {coordinator} = cluster.coordinator;
    coordinator.grant = () => Either.of({answers: [[0.5]]});
    for (let count = 0; count < 3; count++) {
      const {decision} = await acquire(cluster, vm);
      expect(decision?.kind).to.equal('refused');
    }
  });
});

describe('a quota coordinator', () => {
  const request = (wanted: number, name = 'lone'): GrantRequest => ({
    from: 'vm-x',
    items: [[name, wanted, wanted, 0, 0, 1, 0]],
  });
  const answer = (vm: QuotaVm, asked: GrantRequest) =>
    vm.coordinator.grant(asked).toMaybe().extract()?.answers[0];

  it('refuses an organisation that its view does not name', async () => {
    const [cluster] = await startCluster();
    const {coordinator} = cluster;
    const names = Array.from({length: 200}, (_, index) => `unknown${index}`);
    const answers = names.map(name => answer(coordinator, request(1, name)));
    const own = answers.filter(granted => granted?.length === 3);
    expect(own).to.not.be.empty;
    expect(own.every(granted => granted?.[0] === 0)).to.equal(true);
  });

  it('grants nothing while its view is older than 2 s', async () => {
    const [cluster] = await startCluster();
    const {coordinator} = cluster;
    coordinator.isConnectedToControl = false;
    await cluster.advance(2_400);
    expect(coordinator.coordinator.grant(request(1)).isLeft()).to.equal(true);
  });

  it('continues at once after control alone was unreachable', async () => {
    const [cluster] = await startCluster();
    for (const vm of cluster.vms) vm.isConnectedToControl = false;
    await cluster.advance(4_000);
    for (const vm of cluster.vms) vm.isConnectedToControl = true;
    await cluster.advance(400);
    expect(answer(cluster.coordinator, request(5))).to.deep.equal([5]);
  });

  it('begins with what the rate has yielded, at most the burst', async () => {
    const [cluster] = await startCluster({operationsPerSecond: 1, burst: 50});
    // The takeover and 1 s after it yield nothing.
    expect(answer(cluster.coordinator, request(50))?.[0]).to.be.within(3, 4);
  });

  it('adds up fractions of a rate below one operation in ten seconds', async () => {
    const [cluster] = await startCluster({operationsPerSecond: 0.1, burst: 0});
    const {coordinator} = cluster;
    let granted = 0;
    for (let second = 0; second < 100; second++) {
      granted += answer(coordinator, request(1))?.[0] ?? 0;
      await cluster.advance(1_000);
    }
    expect(granted).to.be.within(9, 11);
  });

  it('cuts its bucket at once when the quota is lowered', async () => {
    const [cluster] = await startCluster({operationsPerSecond: 100, burst: 90});
    answer(cluster.coordinator, request(1));
    cluster.setQuota({operationsPerSecond: 1, burst: 2});
    expect(answer(cluster.coordinator, request(90))?.[0]).to.be.at.most(4);
  });
});
