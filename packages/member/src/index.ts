/**
 * The member API of a backend server: its client, the status of a member and
 * the announcement with which a member registers.
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
