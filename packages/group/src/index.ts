/**
 * Following the members of a database group: what each says of itself, and
 * what a majority of them holds.
 *
 * @packageDocumentation
 */
export {CurrentPosition} from './current_position.js';
export {GroupWatch} from './group_watch.js';
export {StatusWatch, type MemberObservation} from './status_watch.js';
