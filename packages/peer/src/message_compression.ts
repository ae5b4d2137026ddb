import {PerMessageDeflateOptions} from 'ws';

/** Smaller messages gain less than their compression costs. */
const THRESHOLD_BYTES = 4 << 10;
/** Bounds the memory of a link: 2 ^ 13 bytes of history. */
const WINDOW_BITS = 13;
const MEMORY_LEVEL = 6;
const COMPRESSION_LEVEL = 3;

/**
 * Compresses large messages, such as views with many catalogue entries, which
 * otherwise keep a slow link from carrying anything else for a second. A peer
 * that does not offer compression gets uncompressed messages.
 */
export const MESSAGE_COMPRESSION: PerMessageDeflateOptions = {
  threshold: THRESHOLD_BYTES,
  serverNoContextTakeover: true,
  clientNoContextTakeover: true,
  serverMaxWindowBits: WINDOW_BITS,
  clientMaxWindowBits: WINDOW_BITS,
  zlibDeflateOptions: {level: COMPRESSION_LEVEL, memLevel: MEMORY_LEVEL},
};
