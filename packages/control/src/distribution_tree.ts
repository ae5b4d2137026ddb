import {createHash} from 'node:crypto';
import {VirtualMachine} from '@apricotlock/topology';

/** Maximum number of VMs to which each VM forwards a view. */
const CHILDREN_PER_NODE = 8;
/** Distances on the ring, from the VM's own position, to its neighbours. */
const NEIGHBOUR_DISTANCES: readonly number[] = [1, 7, 61];

/**
 * The tree over which views are distributed. VMs form a ring ordered by the
 * hash of their names, and the tree is filled level by level from its root, so
 * that all VMs with the same list of machines compute the same tree. Where the
 * lists differ, fetches from the parent and from neighbours reach the VMs that
 * the tree leaves out.
 */
export class DistributionTree {
  private readonly ringIndexes: ReadonlyMap<string, number>;

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
    const position = this.treePositionOf(name, root);
    if (position === undefined) return [];
    const first = position * CHILDREN_PER_NODE + 1;
    const end = Math.min(first + CHILDREN_PER_NODE, this.ring.length);
    return Array.from({length: Math.max(0, end - first)}, (_, offset) =>
      this.machineAt(root, first + offset),
    );
  }

  /**
   * Returns the VM from which a VM receives views, in the tree with a given
   * root.
   */
  parentOf(name: string, root: string): VirtualMachine | undefined {
    const position = this.treePositionOf(name, root);
    if (position === undefined || position === 0) return undefined;
    return this.machineAt(root, Math.floor((position - 1) / CHILDREN_PER_NODE));
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

  private treePositionOf(name: string, root: string): number | undefined {
    const ringIndex = this.ringIndexes.get(name);
    const start = this.ringIndexes.get(root);
    if (ringIndex === undefined || start === undefined) return undefined;
    return (ringIndex - start + this.ring.length) % this.ring.length;
  }

  private machineAt(root: string, position: number): VirtualMachine {
    const start = this.ringIndexes.get(root) ?? 0;
    const ringIndex = (start + position) % this.ring.length;
    return this.ring[ringIndex] as VirtualMachine;
  }
}
