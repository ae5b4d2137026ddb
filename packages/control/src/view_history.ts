import {ClusterView} from '@apricotlock/topology';
import {deltaBetween, ViewDelta} from './view_delta.js';

const VIEWS_KEPT = 64;

/** A view for another VM: what changed since the one it has, or all of it. */
export type ViewUpdate =
  | {readonly kind: 'delta'; readonly delta: ViewDelta}
  | {readonly kind: 'full'; readonly view: ClusterView};

/** The newest views, from which what changed since an older one is told. */
export class ViewHistory {
  private views: readonly ClusterView[];

  private constructor(first: ClusterView) {
    this.views = [first];
  }

  /** A history that begins with a view. */
  static of(first: ClusterView): ViewHistory {
    return new ViewHistory(first);
  }

  /** Adds a newer view. */
  add(view: ClusterView): void {
    this.views = [...this.views.slice(1 - VIEWS_KEPT), view];
  }

  /** The index of the view before the newest one. */
  get previousIndex(): number {
    return (this.views.at(-2) ?? this.newest).index;
  }

  /** What brings a VM with the view of an index up to date. */
  updateFrom(index: number): ViewUpdate {
    const known = this.views.find(view => view.index === index);
    if (known === undefined) return {kind: 'full', view: this.newest};
    return {kind: 'delta', delta: deltaBetween(known, this.newest)};
  }

  private get newest(): ClusterView {
    return this.views.at(-1) as ClusterView;
  }
}
