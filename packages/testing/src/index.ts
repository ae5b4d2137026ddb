/**
 * Unshipped: what the tests of several packages share.
 *
 * @packageDocumentation
 */
export {testPort} from './test_port.js';
