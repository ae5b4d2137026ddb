/**
 * Tracks the members of a database group: the status that each reports, and
 * the log position that a majority of them holds.
 *
 * @packageDocumentation
 */
export {GroupWatch} from './group_watch.js';
export {PositionHistory} from './position_history.js';
export {PrimaryPositionReader} from './primary_position_reader.js';
export {StatusWatch, type MemberObservation} from './status_watch.js';
