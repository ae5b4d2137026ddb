import {createHash} from 'node:crypto';
import {VirtualMachine} from '@apricotlock/topology';

/** VMs that one VM passes a view on to. */
const CHILDREN = 8;
/** Places on the ring, from its own, at which a VM has its neighbours. */
const NEIGHBOUR_DISTANCES: readonly number[] = [1, 7, 61];

/**
 * The tree over which views spread, the same wherever the same VMs are known:
 * the VMs stand in a ring in the order of their names' hashes, and the tree is
 * filled level by level from its root on. Where VMs differ in whom they know,
 * asking parent and neighbours makes up for what the tree leaves out.
 */
export class FanOut {
  private readonly places: ReadonlyMap<string, number>;

  private constructor(private readonly ring: readonly VirtualMachine[]) {
    this.places = new Map(ring.map(({name}, place) => [name, place]));
  }

  /** The ring of these VMs. */
  static over(machines: readonly VirtualMachine[]): FanOut {
    const hashed = machines.map(machine => ({
      machine,
      hash: createHash('sha1').update(machine.name).digest('hex'),
    }));
    hashed.sort((left, right) => (left.hash < right.hash ? -1 : 1));
    return new FanOut(hashed.map(({machine}) => machine));
  }

  /** To whom a VM passes a view on, in the tree from a root. */
  childrenOf(name: string, root: string): readonly VirtualMachine[] {
    const position = this.positionOf(name, root);
    if (position === undefined) return [];
    const first = position * CHILDREN + 1;
    const end = Math.min(first + CHILDREN, this.ring.length);
    return Array.from({length: Math.max(0, end - first)}, (_, offset) =>
      this.at(root, first + offset),
    );
  }

  /** From whom a VM gets a view, in the tree from a root. */
  parentOf(name: string, root: string): VirtualMachine | undefined {
    const position = this.positionOf(name, root);
    if (position === undefined || position === 0) return undefined;
    return this.at(root, Math.floor((position - 1) / CHILDREN));
  }

  /** A few other VMs, the same ones for as long as the ring is the same. */
  neighboursOf(name: string): readonly VirtualMachine[] {
    const places = NEIGHBOUR_DISTANCES.map(
      distance => distance % Math.max(1, this.ring.length),
    );
    return [...new Set(places)]
      .filter(place => place > 0)
      .map(place => this.at(name, place));
  }

  private positionOf(name: string, root: string): number | undefined {
    const place = this.places.get(name);
    const start = this.places.get(root);
    if (place === undefined || start === undefined) return undefined;
    return (place - start + this.ring.length) % this.ring.length;
  }

  private at(root: string, position: number): VirtualMachine {
    const start = this.places.get(root) ?? 0;
    const place = (start + position) % this.ring.length;
    return this.ring[place] as VirtualMachine;
  }
}
