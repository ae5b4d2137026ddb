import {Either} from 'purify-ts';
import {PeerNetwork} from '@apricotlock/peer';
import {TimerService} from '@apricotlock/timer';
import {ownerRanking, VirtualMachine} from '@apricotlock/topology';
import {CLAIM_SHARDS, ShardClaim} from './quota_messages.js';
import {ANY_DATA_CENTRE, shardKey} from './quota_shards.js';
import {ShardOwnership} from './shard_ownership.js';

/**
 * A VM that does not answer is taken to have stopped granting after this time.
 * A change of the list of VMs reaches all of them within 0.7 s at 100 VMs
 * (`docs/design/membership.md`).
 */
export const HANDOVER_MILLISECONDS = 1_000;
/**
 * The same limit after a VM has kept a shard. Unlike a VM that membership has
 * declared dead, it answered a moment ago. If a partition has cut it off since,
 * it grants until it notices that its view is old.
 */
const KEPT_HANDOVER_MILLISECONDS = 3_000;
const REPEAT_MILLISECONDS = 250;
/**
 * The number of VMs asked, from the first of a shard's ranking on: the former
 * coordinator may not be the first if up to two others were lost with it.
 */
const ASKED_MACHINES = 3;

/** Dependencies of {@link ShardTakeover}. */
export interface ShardTakeoverOptions {
  readonly self: string;
  readonly network: PeerNetwork;
  readonly timer: TimerService;
  readonly ownership: ShardOwnership;
  /** The VMs that are seen or were lost recently. */
  readonly knownMachines: () => readonly VirtualMachine[];
}

interface Round {
  readonly shards: readonly number[];
  /** When the ownership of the shards began. */
  readonly since: number;
}

/**
 * Takes over shards from VMs that may still grant for them. Lists of VMs differ
 * for up to 3 s after a VM was frozen or wrongly declared dead, and two
 * coordinators that fill at the full rate for 1 s would exceed the bound. A VM
 * therefore asks the other candidates before it grants.
 */
export class ShardTakeover {
  /**
   * Shards that this VM has left to claimants since its current round began.
   */
  private readonly ceded = new Set<number>();

  private constructor(private readonly options: ShardTakeoverOptions) {
    options.network.handle(CLAIM_SHARDS, async claim =>
      Either.of({kept: this.keptOf(claim)}),
    );
  }

  /** Starts to answer the claims of other VMs. */
  static start(options: ShardTakeoverOptions): ShardTakeover {
    return new ShardTakeover(options);
  }

  /**
   * Returns whether one of the VMs is asked before this VM grants for a shard.
   */
  asksAnyOf(machines: readonly VirtualMachine[], shard: number): boolean {
    const asked = this.askedFor(shard);
    return machines.some(({name}) => asked.some(each => each.name === name));
  }

  /** Activates each shard once no other VM grants for it. */
  async take({shards, since}: Round): Promise<void> {
    const {timer, ownership} = this.options;
    let remaining = shards;
    let timeout = HANDOVER_MILLISECONDS;
    while (remaining.length > 0) {
      for (const shard of remaining) this.ceded.delete(shard);
      const claimed = await this.claim(remaining, timer.now() + timeout);
      const kept = new Set([...claimed, ...this.ceded]);
      remaining = remaining.filter(
        shard => ownership.ownedSince(shard) === since,
      );
      for (const shard of remaining) {
        if (!kept.has(shard)) ownership.activate(shard, since);
      }
      remaining = remaining.filter(shard => kept.has(shard));
      timeout = KEPT_HANDOVER_MILLISECONDS;
      if (remaining.length > 0) await timer.sleep(REPEAT_MILLISECONDS);
    }
  }

  /** Returns the shards that other VMs keep. */
  private async claim(
    shards: readonly number[],
    deadline: number,
  ): Promise<ReadonlySet<number>> {
    const claims = this.groupByMachine(shards);
    const kept = await Promise.all(
      [...claims].map(([machine, claimed]) =>
        this.ask(machine, claimed, deadline),
      ),
    );
    return new Set(kept.flat());
  }

  /**
   * Returns the shards that a VM keeps. The question is repeated, because a
   * broken connection does not mean that the VM has stopped granting.
   */
  private async ask(
    machine: VirtualMachine,
    shards: readonly number[],
    deadline: number,
  ): Promise<readonly number[]> {
    const {self, network, timer} = this.options;
    for (;;) {
      const askedAt = timer.now();
      if (askedAt >= deadline) return [];
      const result = await network.call(
        machine.peerAddress,
        CLAIM_SHARDS,
        {from: self, shards},
        REPEAT_MILLISECONDS,
      );
      const answer = result.toMaybe().extract();
      if (answer !== undefined) return answer.kept;
      const elapsed = timer.now() - askedAt;
      await timer.sleep(Math.max(0, REPEAT_MILLISECONDS - elapsed));
    }
  }

  private groupByMachine(
    shards: readonly number[],
  ): ReadonlyMap<VirtualMachine, readonly number[]> {
    const groups = new Map<VirtualMachine, number[]>();
    for (const shard of shards) {
      for (const machine of this.askedFor(shard)) {
        const group = groups.get(machine);
        if (group === undefined) groups.set(machine, [shard]);
        else group.push(shard);
      }
    }
    return groups;
  }

  /** Returns the VMs that may have granted for a shard before this VM. */
  private askedFor(shard: number): readonly VirtualMachine[] {
    const {self, knownMachines} = this.options;
    const others = knownMachines().filter(({name}) => name !== self);
    const key = shardKey(shard);
    return ownerRanking(key, ANY_DATA_CENTRE, others, ASKED_MACHINES);
  }

  /**
   * Returns the claimed shards for which this VM grants. Of two VMs that both
   * wait to grant, the one whose name is lower goes first.
   */
  private keptOf({from, shards}: ShardClaim): readonly number[] {
    const {self, ownership} = this.options;
    const kept = shards.filter(
      shard =>
        ownership.activeSince(shard) !== undefined ||
        (ownership.ownedSince(shard) !== undefined && self < from),
    );
    for (const shard of shards) {
      if (!kept.includes(shard)) this.ceded.add(shard);
    }
    return kept;
  }
}
