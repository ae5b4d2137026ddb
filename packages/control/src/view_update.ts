import {ClusterView} from '@apricotlock/topology';
import {ViewDelta} from './view_delta.js';

/**
 * An update for another VM: the delta from the view that it has, or the full
 * view.
 */
export type ViewUpdate =
  | {readonly kind: 'delta'; readonly delta: ViewDelta}
  | {readonly kind: 'full'; readonly view: ClusterView};
