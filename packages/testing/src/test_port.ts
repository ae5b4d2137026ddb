const DEFAULT_BASE_PORT = 19_000;

/**
 * Returns a port for a test. Each test file uses its own offsets; a different
 * APRICOTLOCK_TEST_BASE_PORT for each lets several runs share a machine.
 */
export function testPort(offset: number): number {
  const base = process.env['APRICOTLOCK_TEST_BASE_PORT'];
  return Number(base ?? DEFAULT_BASE_PORT) + offset;
}
