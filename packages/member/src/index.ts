/**
 * What the system asks of a backend server, and what a backend server says
 * of itself.
 *
 * @packageDocumentation
 */
export {readAnnouncement, type Announcement} from './announcement.js';
export {HttpMemberClient} from './http_member_client.js';
export {
  MemberClient,
  type MemberError,
  type ReplicationSource,
  type StatusRequest,
} from './member_client.js';
export {
  readStatus,
  statusToJson,
  type MemberRole,
  type MemberStatus,
} from './member_status.js';
