import {TimerService} from '@apricotlock/timer';
import {Figure, FigureRecorder} from './figure.js';
import {SystemUnderTest} from './system_under_test.js';

const CHANGES = 60;
const TARGET_P99_MILLISECONDS = 200;
const LIMIT_MILLISECONDS = 3_000;

/**
 * Measures how long a catalogue change takes until every entry VM says that
 * it is in force, as an operator who waits for it sees it.
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
    const client = system.operator(machine);
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
    if (missing.orDefault(1) > 0) throw new Error('a change was not in force');
  }
  return recorder.figure(
    ({p99, maximum}) =>
      p99 <= TARGET_P99_MILLISECONDS && maximum <= LIMIT_MILLISECONDS,
  );
}
