import {createHash} from 'node:crypto';
import {VirtualMachine} from '@apricotlock/topology';

/** Maximum number of VMs to which each VM forwards a view. */
const CHILDREN_PER_NODE = 8;
/** Distances on the ring, from the VM's own position, to its neighbours. */
const NEIGHBOUR_DISTANCES: readonly number[] = [1, 7, 61];

/** The order in which the VMs fill the tree with one root. */
interface TreeOrder {
  readonly root: string;
  readonly machines: readonly VirtualMachine[];
  readonly positions: ReadonlyMap<string, number>;
}

/**
 * The tree over which views are distributed. VMs form a ring ordered by the
 * hash of their names, and the tree is filled level by level from its root, so
 * that all VMs with the same list of machines compute the same tree. Control
 * VMs come first, since the links of entry VMs also carry the callers' work.
 * Where the lists differ, fetches from the parent and from neighbours reach the
 * VMs that the tree leaves out.
 */
export class DistributionTree {
  private readonly ringIndexes: ReadonlyMap<string, number>;
  /** The order for the root that was asked for last. */
  private latestOrder: TreeOrder | undefined;

  private constructor(private readonly ring: readonly VirtualMachine[]) {
    this.ringIndexes = new Map(
      ring.map(({name}, ringIndex) => [name, ringIndex]),
    );
  }

  /** Builds the tree for these VMs. */
  static of(machines: readonly VirtualMachine[]): DistributionTree {
    const hashed = machines.map(machine => ({
      machine,
      hash: createHash('sha1').update(machine.name).digest('hex'),
    }));
    hashed.sort((left, right) => (left.hash < right.hash ? -1 : 1));
    return new DistributionTree(hashed.map(({machine}) => machine));
  }

  /**
   * Returns the VMs to which a VM forwards views, in the tree with a given
   * root.
   */
  childrenOf(name: string, root: string): readonly VirtualMachine[] {
    const order = this.orderFrom(root);
    const position = order?.positions.get(name);
    if (order === undefined || position === undefined) return [];
    const first = position * CHILDREN_PER_NODE + 1;
    return order.machines.slice(first, first + CHILDREN_PER_NODE);
  }

  /**
   * Returns the VM from which a VM receives views, in the tree with a given
   * root.
   */
  parentOf(name: string, root: string): VirtualMachine | undefined {
    const order = this.orderFrom(root);
    const position = order?.positions.get(name);
    if (position === undefined || position === 0) return undefined;
    return order?.machines[Math.floor((position - 1) / CHILDREN_PER_NODE)];
  }

  /**
   * Returns a few other VMs, which stay the same while the ring is unchanged.
   */
  neighboursOf(name: string): readonly VirtualMachine[] {
    const offsets = NEIGHBOUR_DISTANCES.map(
      distance => distance % Math.max(1, this.ring.length),
    );
    return [...new Set(offsets)]
      .filter(offset => offset > 0)
      .map(offset => this.machineAt(name, offset));
  }

  /** Returns the order with a given root; `undefined` if it is not known. */
  private orderFrom(root: string): TreeOrder | undefined {
    if (this.latestOrder?.root === root) return this.latestOrder;
    if (!this.ringIndexes.has(root)) return undefined;
    const [first, ...rest] = this.ring.map((_, offset) =>
      this.machineAt(root, offset),
    );
    const machines = [
      first as VirtualMachine,
      ...rest.filter(({controlVoter}) => controlVoter),
      ...rest.filter(({controlVoter}) => !controlVoter),
    ];
    const positions = new Map(
      machines.map(({name}, position) => [name, position]),
    );
    this.latestOrder = {root, machines, positions};
    return this.latestOrder;
  }

  /** Returns the VM at a distance on the ring from another one. */
  private machineAt(name: string, distance: number): VirtualMachine {
    const start = this.ringIndexes.get(name) ?? 0;
    const ringIndex = (start + distance) % this.ring.length;
    return this.ring[ringIndex] as VirtualMachine;
  }
}
