import {createHash} from 'node:crypto';
import {MemberTable} from './member_table.js';

/** Returns a random number in [0, 1). */
export type RandomSource = () => number;

/**
 * Selects the processes to probe, alternating between the successor of this
 * process on a hash ring and a random process. The ring bounds the time until a
 * process is probed; random probes detect its failure even if its predecessor
 * has failed too. Ring positions are hashes of names, so that VMs of one rack
 * are not neighbours on the ring.
 */
export class ProbeTargetSelector {
  private selectionCount = 0;
  private cachedLiveNames: readonly string[] = [];
  private cachedSuccessor: string | undefined;

  private constructor(
    private readonly self: string,
    private readonly table: MemberTable,
    private readonly random: RandomSource,
  ) {}

  /** Creates the selector of the process named `self`. */
  static create(
    self: string,
    table: MemberTable,
    random: RandomSource,
  ): ProbeTargetSelector {
    return new ProbeTargetSelector(self, table, random);
  }

  /**
   * Returns the name of the next process to probe, or `undefined` if there is
   * none.
   */
  selectTarget(): string | undefined {
    this.selectionCount += 1;
    if (this.selectionCount % 2 === 0) return this.sample(1)[0];
    return this.getRingSuccessor();
  }

  /**
   * Returns the names of up to `count` random live processes, excluding this
   * one and `except`.
   */
  sample(count: number, except?: string): readonly string[] {
    const live = this.table.listLiveNames();
    const sampleSize = Math.min(count, live.length);
    const chosen = new Set<string>();
    // A draw may hit a process that is excluded or already chosen. Extra draws
    // make a smaller sample rare, and a smaller sample is harmless.
    for (
      let draw = 0;
      draw < sampleSize * 4 && chosen.size < sampleSize;
      draw++
    ) {
      const name = live[Math.floor(this.random() * live.length)] as string;
      if (name !== this.self && name !== except) chosen.add(name);
    }
    return [...chosen];
  }

  private getRingSuccessor(): string | undefined {
    const live = this.table.listLiveNames();
    if (live === this.cachedLiveNames) return this.cachedSuccessor;
    this.cachedLiveNames = live;
    this.cachedSuccessor = findSuccessor(this.self, live);
    return this.cachedSuccessor;
  }
}

function findSuccessor(
  self: string,
  names: readonly string[],
): string | undefined {
  const ownPosition = getRingPosition(self);
  const others = names
    .filter(name => name !== self)
    .map(name => ({name, position: getRingPosition(name)}));
  const successors = others.filter(({position}) => position > ownPosition);
  const candidates = successors.length > 0 ? successors : others;
  return candidates.reduce<(typeof others)[number] | undefined>(
    (best, candidate) =>
      best === undefined || candidate.position < best.position
        ? candidate
        : best,
    undefined,
  )?.name;
}

function getRingPosition(name: string): string {
  let position = positionCache.get(name);
  if (position === undefined) {
    position = createHash('sha1').update(name).digest('hex');
    if (positionCache.size >= MAXIMUM_CACHED_POSITIONS) positionCache.clear();
    positionCache.set(name, position);
  }
  return position;
}

const MAXIMUM_CACHED_POSITIONS = 16_384;
const positionCache = new Map<string, string>();
