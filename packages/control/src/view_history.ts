import {ClusterView} from '@apricotlock/topology';
import {isWorthPacking, PackedUpdate, packUpdate} from './packed_update.js';
import {deltaBetween} from './view_delta.js';
import {ViewUpdate} from './view_update.js';

const RETAINED_VIEWS = 64;

/** Keeps the most recent views, in order to compute deltas from older ones. */
export class ViewHistory {
  private views: readonly ClusterView[];
  /**
   * The packed updates to the newest view, by the index of the view that they
   * start from; `undefined` for the full view.
   */
  private readonly packedUpdates = new Map<number | undefined, PackedUpdate>();

  private constructor(first: ClusterView) {
    this.views = [first];
  }

  /** Creates a history that starts with a view. */
  static of(first: ClusterView): ViewHistory {
    return new ViewHistory(first);
  }

  /** Adds a newer view. */
  add(view: ClusterView): void {
    this.views = [...this.views.slice(1 - RETAINED_VIEWS), view];
    this.packedUpdates.clear();
  }

  /** Keeps an update to the newest view as it was received, to be forwarded. */
  keepPacked(update: ViewUpdate, packed: PackedUpdate): void {
    this.packedUpdates.set(startOf(update), packed);
  }

  /** The index of the second newest view. */
  get previousIndex(): number {
    return (this.views.at(-2) ?? this.newest).index;
  }

  /** Returns the update for a VM whose view has a given index. */
  updateFrom(index: number): ViewUpdate {
    const known = this.views.find(view => view.index === index);
    if (known === undefined) return {kind: 'full', view: this.newest};
    return {kind: 'delta', delta: deltaBetween(known, this.newest)};
  }

  /**
   * Returns the update for a VM whose view has a given index, packed if it is
   * large.
   */
  packedUpdateFrom(index: number): ViewUpdate | PackedUpdate {
    const known = this.views.find(view => view.index === index);
    const kept = this.packedUpdates.get(known?.index);
    if (kept !== undefined) return kept;
    const update = this.updateFrom(index);
    if (!isWorthPacking(update)) return update;
    const packed = packUpdate(update);
    this.packedUpdates.set(startOf(update), packed);
    return packed;
  }

  private get newest(): ClusterView {
    return this.views.at(-1) as ClusterView;
  }
}

function startOf(update: ViewUpdate): number | undefined {
  return update.kind === 'full' ? undefined : update.delta.fromIndex;
}
