import {TimerService} from '@apricotlock/timer';
import {Figure, FigureRecorder} from './figure.js';
import {SystemUnderTest} from './system_under_test.js';

const CHANGES = 60;
const TARGET_P99_MILLISECONDS = 200;
const LIMIT_MILLISECONDS = 3_000;

/**
 * Measures how long an operator waits for a catalogue change until every entry
 * VM has reported that it is in force. Throws if a VM does not report in time.
 */
export async function measureChangesInForce(
  system: SystemUnderTest,
  timer: TimerService,
): Promise<Figure> {
  const recorder = FigureRecorder.create(
    'catalogue change in force on every VM',
    'ms',
    `p99 <= ${TARGET_P99_MILLISECONDS} ms, max <= ${LIMIT_MILLISECONDS} ms`,
  );
  const {machines} = system.layout;
  const entries = system.catalogueEntries();
  for (let change = 0; change < CHANGES; change++) {
    const machine = machines[change % machines.length];
    const client = system.operatorClient(machine);
    const current = (await client.catalogue()).unsafeCoerce();
    const start = timer.now();
    const report = await client.putCatalogue(
      `measured-${change}`,
      current.version,
      entries,
      true,
    );
    recorder.record(timer.now() - start);
    const missing = report.map(({missing}) => missing?.length ?? 0);
    if (missing.orDefault(1) > 0) throw new Error('change missing on some VMs');
  }
  return recorder.figure(
    ({p99, maximum}) =>
      p99 <= TARGET_P99_MILLISECONDS && maximum <= LIMIT_MILLISECONDS,
  );
}
