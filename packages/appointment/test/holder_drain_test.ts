import {expect} from 'chai';
import {SingleNodeControlLog} from '@apricotlock/control';
import {ManualTimerService} from '@apricotlock/timer';
import {VirtualMachine} from '@apricotlock/topology';
import {holderDrainMilliseconds, mustHandOver} from '../src/holder_drain.js';
import {entryMachine, groupIn, logWithGroup} from './fake_control.js';
import {FakeControlVm, GRACE_MILLISECONDS} from './fake_control_vm.js';
import {FakeGroup, FakePromotions} from './fake_group.js';

const HOLDER_DRAIN_MILLISECONDS = holderDrainMilliseconds(GRACE_MILLISECONDS);
const HOLDER = 'entry-1';
const OTHER = 'entry-2';
const RENEWAL_INTERVAL_MILLISECONDS = 200;
/** Enough for a failover that no member or holder delays. */
const FAILOVER_MILLISECONDS = 500;
/** Longer than a holder may be silent and a lease lasts. */
const LOSS_MILLISECONDS = 2_400;

/** A primary whose lease holder is draining, on a virtual clock. */
class Scenario {
  readonly timer = ManualTimerService.create();
  openTransactions: number | undefined = 1;
  isHolderSilent = false;

  private constructor(private readonly log: SingleNodeControlLog) {}

  static async start(
    state: VirtualMachine['state'] = 'draining',
  ): Promise<Scenario> {
    const scenario = new Scenario(await logWithGroup(['a', 'b'], 'a', HOLDER));
    const {timer, log} = scenario;
    const group = new FakeGroup();
    const primary = group.add('a', 9);
    group.add('b', 9);
    primary.role = 'primary';
    const control = FakeControlVm.start('control-1', {
      committed: log,
      group,
      promotions: new FakePromotions(group, primary),
      entryMachines: [{...entryMachine(HOLDER), state}, entryMachine(OTHER)],
      timer,
      drainMilliseconds: 7_000,
      onRevoked: () => undefined,
      openTransactions: () => scenario.openTransactions,
    });
    control.lead(1);
    timer.every(RENEWAL_INTERVAL_MILLISECONDS, () => {
      const {holder, term} = groupIn(log);
      const isSilent = scenario.isHolderSilent && holder === HOLDER;
      if (holder !== undefined && !isSilent) void control.renew(holder, term);
    });
    return scenario;
  }

  get holder(): string | undefined {
    const {primary, holder} = groupIn(this.log);
    return primary === undefined ? undefined : holder;
  }
}

// Guards against open transactions that end because their holder drains.
describe('a lease holder that is draining', () => {
  it('is to hand over once no transaction is open or their time is over', () => {
    const limit = HOLDER_DRAIN_MILLISECONDS;
    expect(mustHandOver(0, 1, limit)).to.equal(false);
    expect(mustHandOver(limit - 1, 1, limit)).to.equal(false);
    expect(mustHandOver(limit, 1, limit)).to.equal(true);
    expect(mustHandOver(0, 0, limit)).to.equal(true);
  });

  it('is to hand over at once if it has not answered', () => {
    const limit = HOLDER_DRAIN_MILLISECONDS;
    expect(mustHandOver(0, undefined, limit)).to.equal(true);
  });

  // Guards against a handover that comes after the holder had to exit.
  it('has handed over by half of its grace period, however short', () => {
    expect(holderDrainMilliseconds(6_000)).to.equal(2_750);
    expect(holderDrainMilliseconds(2_000)).to.equal(750);
    expect(holderDrainMilliseconds(400)).to.equal(0);
  });

  it('keeps the lease while a transaction is open, for a limited time', async () => {
    const scenario = await Scenario.start();
    await scenario.timer.advanceAsync(HOLDER_DRAIN_MILLISECONDS - 100);
    expect(scenario.holder).to.equal(HOLDER);
    await scenario.timer.advanceAsync(FAILOVER_MILLISECONDS);
    expect(scenario.holder).to.equal(OTHER);
  });

  it('is replaced once its last transaction has ended', async () => {
    const scenario = await Scenario.start();
    await scenario.timer.advanceAsync(1_000);
    scenario.openTransactions = 0;
    await scenario.timer.advanceAsync(FAILOVER_MILLISECONDS);
    expect(scenario.holder).to.equal(OTHER);
  });

  it('is replaced at once if it does not know the question', async () => {
    const scenario = await Scenario.start();
    scenario.openTransactions = undefined;
    await scenario.timer.advanceAsync(FAILOVER_MILLISECONDS);
    expect(scenario.holder).to.equal(OTHER);
  });

  it('is replaced within the usual time if it becomes silent', async () => {
    const scenario = await Scenario.start();
    await scenario.timer.advanceAsync(300);
    scenario.isHolderSilent = true;
    await scenario.timer.advanceAsync(1_000);
    expect(scenario.holder).to.equal(OTHER);
  });
});

describe('a lease holder that is serving', () => {
  it('keeps the lease, and is replaced when it becomes silent', async () => {
    const scenario = await Scenario.start('serving');
    await scenario.timer.advanceAsync(LOSS_MILLISECONDS);
    expect(scenario.holder).to.equal(HOLDER);
    scenario.isHolderSilent = true;
    await scenario.timer.advanceAsync(LOSS_MILLISECONDS);
    expect(scenario.holder).to.equal(OTHER);
  });
});
