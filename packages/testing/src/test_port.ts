const DEFAULT_BASE_PORT = 19_000;

/**
 * A port for a test. Each test file has offsets of its own; the variable
 * APRICOTLOCK_TEST_BASE_PORT lets several runs share a machine.
 */
export function testPort(offset: number): number {
  const base = process.env['APRICOTLOCK_TEST_BASE_PORT'];
  return Number(base ?? DEFAULT_BASE_PORT) + offset;
}
