/**
 * Helpers that the tests of several packages share. Not shipped.
 *
 * @packageDocumentation
 */
export {TestAuthority, type TestIdentity} from './test_authority.js';
export {testPort} from './test_port.js';
