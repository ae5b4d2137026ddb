import {VirtualMachine} from '@apricotlock/topology';
import {coordinatorOf, SHARD_COUNT} from './quota_shards.js';

interface OwnedShard {
  readonly since: number;
  /** Whether the takeover from other coordinators is complete. */
  readonly isActive: boolean;
}

/** The shards whose ownership a list of VMs has changed. */
export interface OwnershipChange {
  readonly gained: readonly number[];
  readonly lost: readonly number[];
}

/**
 * The shards that this VM coordinates, with the time since when.
 *
 * Load: `update` ranks the VMs for 64 shards, for each change of their list.
 */
export class ShardOwnership {
  private owned: ReadonlyMap<number, OwnedShard> = new Map();

  private constructor(private readonly self: string) {}

  /** Creates an ownership of no shard. */
  static create(self: string): ShardOwnership {
    return new ShardOwnership(self);
  }

  /** Applies a list of entry VMs. */
  update(machines: readonly VirtualMachine[], now: number): OwnershipChange {
    const owned = new Map<number, OwnedShard>();
    const gained: number[] = [];
    for (let shard = 0; shard < SHARD_COUNT; shard++) {
      if (coordinatorOf(shard, machines)?.name !== this.self) continue;
      const known = this.owned.get(shard);
      if (known === undefined) gained.push(shard);
      owned.set(shard, known ?? {since: now, isActive: false});
    }
    const lost = [...this.owned.keys()].filter(shard => !owned.has(shard));
    this.owned = owned;
    return {gained, lost};
  }

  /** Lets the ownership of all shards begin now; returns them. */
  restart(now: number): readonly number[] {
    return this.restartWhere(now, () => true);
  }

  /** Lets the ownership of the selected shards begin now; returns them. */
  restartWhere(
    now: number,
    isSelected: (shard: number) => boolean,
  ): readonly number[] {
    const shards = [...this.owned.keys()].filter(isSelected);
    const restarted = shards.map(
      shard => [shard, {since: now, isActive: false}] as const,
    );
    this.owned = new Map([...this.owned, ...restarted]);
    return shards;
  }

  /** Ends the takeover of a shard, if its ownership began at the given time. */
  activate(shard: number, since: number): void {
    if (this.owned.get(shard)?.since !== since) return;
    this.owned = new Map([...this.owned, [shard, {since, isActive: true}]]);
  }

  /** Returns since when this VM owns a shard, if it does. */
  ownedSince(shard: number): number | undefined {
    return this.owned.get(shard)?.since;
  }

  /** Returns since when this VM owns a shard for which it grants. */
  activeSince(shard: number): number | undefined {
    const owned = this.owned.get(shard);
    return owned?.isActive ? owned.since : undefined;
  }
}
