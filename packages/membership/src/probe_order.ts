import {createHash} from 'node:crypto';
import {MemberTable} from './member_table.js';

/** Numbers in [0, 1). */
export type RandomSource = () => number;

/**
 * Whom to probe: in turn the next process on a ring and a random one. The ring
 * bounds the time until somebody probes a process; the random ones find it
 * when its predecessor has died as well. The ring goes by a hash of the name,
 * so that the VMs of one rack are no neighbours on it.
 */
export class ProbeOrder {
  private turn = 0;
  private sortedFor: readonly string[] = [];
  private successor: string | undefined;

  private constructor(
    private readonly self: string,
    private readonly table: MemberTable,
    private readonly random: RandomSource,
  ) {}

  /** The order in which `self` probes. */
  static create(
    self: string,
    table: MemberTable,
    random: RandomSource,
  ): ProbeOrder {
    return new ProbeOrder(self, table, random);
  }

  /** The name of the process to probe now. */
  next(): string | undefined {
    this.turn += 1;
    if (this.turn % 2 === 0) return this.sample(1)[0];
    return this.ringSuccessor();
  }

  /** Up to `count` live processes, none of them this one or `except`. */
  sample(count: number, except?: string): readonly string[] {
    const live = this.table.live();
    const wanted = Math.min(count, live.length);
    const chosen = new Set<string>();
    // Each draw may hit one that is excluded or chosen already; a few draws
    // more than wanted make that rare, and a smaller sample does no harm.
    for (let draw = 0; draw < wanted * 4 && chosen.size < wanted; draw++) {
      const name = live[Math.floor(this.random() * live.length)] as string;
      if (name !== this.self && name !== except) chosen.add(name);
    }
    return [...chosen];
  }

  private ringSuccessor(): string | undefined {
    const live = this.table.live();
    if (live === this.sortedFor) return this.successor;
    this.sortedFor = live;
    this.successor = successorOf(this.self, live);
    return this.successor;
  }
}

function successorOf(
  self: string,
  names: readonly string[],
): string | undefined {
  const own = ringPlace(self);
  const others = names
    .filter(name => name !== self)
    .map(name => ({name, place: ringPlace(name)}));
  const after = others.filter(({place}) => place > own);
  const candidates = after.length > 0 ? after : others;
  return candidates.reduce<(typeof others)[number] | undefined>(
    (best, candidate) =>
      best === undefined || candidate.place < best.place ? candidate : best,
    undefined,
  )?.name;
}

function ringPlace(name: string): string {
  let place = places.get(name);
  if (place === undefined) {
    place = createHash('sha1').update(name).digest('hex');
    if (places.size >= MAXIMUM_REMEMBERED_PLACES) places.clear();
    places.set(name, place);
  }
  return place;
}

const MAXIMUM_REMEMBERED_PLACES = 16_384;
const places = new Map<string, string>();
